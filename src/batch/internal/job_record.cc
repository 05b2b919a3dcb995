#include "batch/types/job_record.h"

namespace lentilhead::batch {

namespace {

using nlohmann::json;

std::int64_t ToMilliseconds(framework::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

framework::WallTime FromMilliseconds(std::int64_t value) {
  return framework::WallTime(std::chrono::milliseconds(value));
}

JobState StateOf(const std::string& name) {
  if (name == NameOf(JobState::kFinished)) {
    return JobState::kFinished;
  }
  return name == NameOf(JobState::kCancelled) ? JobState::kCancelled : JobState::kOpen;
}

void ReadIdentity(const json& value, JobRecord& record) {
  record.id = value.at("id").get<std::string>();
  record.caller = value.at("caller").get<std::string>();
  record.service = value.at("service").get<std::string>();
  record.digest = value.at("digest").get<std::string>();
  record.upload = value.at("upload").get<std::string>();
  record.state = StateOf(value.at("state").get<std::string>());
  record.late = value.at("drop_late").get<bool>() ? LatePolicy::kDrop : LatePolicy::kRun;
  record.at_most_once = value.at("at_most_once").get<bool>();
  record.deadline_at_risk = value.at("deadline_at_risk").get<bool>();
  record.items = value.at("items").get<std::size_t>();
  record.segment_items = value.at("segment_items").get<std::size_t>();
  record.created = FromMilliseconds(value.at("created_ms").get<std::int64_t>());
  record.deadline = FromMilliseconds(value.at("deadline_ms").get<std::int64_t>());
  record.ended = FromMilliseconds(value.at("ended_ms").get<std::int64_t>());
}

void ReadProgress(const json& value, JobRecord& record) {
  record.epoch = value.at("epoch").get<std::uint64_t>();
  record.holder = value.at("holder").get<std::string>();
  for (const json& range : value.at("commits")) {
    record.commits.push_back({range.at(0).get<std::uint64_t>(), range.at(1).get<std::uint64_t>()});
  }
  record.succeeded = value.at("succeeded").get<std::size_t>();
  record.failed = value.at("failed").get<std::size_t>();
  record.unknown = value.at("unknown").get<std::size_t>();
  record.declared = value.at("declared").get<std::size_t>();
  record.solo = value.at("solo").get<std::vector<std::uint32_t>>();
  for (const json& failures : value.at("troubles")) {
    record.item_failures[failures.at(0).get<std::uint32_t>()] = {failures.at(1).get<int>(),
                                                                 failures.at(2).get<bool>()};
  }
}

}  // namespace

const char* NameOf(JobState state) {
  switch (state) {
    case JobState::kOpen:
      return "open";
    case JobState::kFinished:
      return "finished";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "open";
}

framework::Result<JobRecord> JobRecord::FromJson(const json& value) {
  JobRecord record;
  try {
    ReadIdentity(value, record);
    ReadProgress(value, record);
    BOOST_LEAF_ASSIGN(record.done,
                      ItemBitmap::Decode(record.items, value.at("done").get<std::string>()));
  } catch (const json::exception& error) {
    return boost::leaf::new_error(JobRecordError{error.what()});
  }
  return record;
}

json JobRecord::ToJson() const {
  json commit_list = json::array();
  for (const CommitRange& range : this->commits) {
    commit_list.push_back({range.epoch, range.count});
  }
  json failure_list = json::array();
  for (const auto& [item, failures] : this->item_failures) {
    failure_list.push_back({item, failures.attempts, failures.suspect});
  }
  return {{"id", this->id},
          {"caller", this->caller},
          {"service", this->service},
          {"digest", this->digest},
          {"upload", this->upload},
          {"state", NameOf(this->state)},
          {"drop_late", this->late == LatePolicy::kDrop},
          {"at_most_once", this->at_most_once},
          {"deadline_at_risk", this->deadline_at_risk},
          {"items", this->items},
          {"segment_items", this->segment_items},
          {"created_ms", ToMilliseconds(this->created)},
          {"deadline_ms", ToMilliseconds(this->deadline)},
          {"ended_ms", ToMilliseconds(this->ended)},
          {"epoch", this->epoch},
          {"holder", this->holder},
          {"commits", std::move(commit_list)},
          {"done", this->done.Encode()},
          {"succeeded", this->succeeded},
          {"failed", this->failed},
          {"unknown", this->unknown},
          {"declared", this->declared},
          {"solo", this->solo},
          {"troubles", std::move(failure_list)}};
}

}  // namespace lentilhead::batch
