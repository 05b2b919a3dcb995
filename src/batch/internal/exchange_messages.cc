#include "batch/internal/exchange_messages.h"

namespace lentilhead::batch::internal {

namespace {

std::string Text(const Json::Value& value, const char* key) {
  const Json::Value& member = value.isObject() ? value[key] : Json::Value::nullSingleton();
  return member.isString() ? member.asString() : std::string();
}

std::uint64_t Unsigned(const Json::Value& value, const char* key) {
  const Json::Value& member = value.isObject() ? value[key] : Json::Value::nullSingleton();
  return member.isUInt64() ? member.asUInt64() : 0;
}

bool Bool(const Json::Value& value, const char* key) {
  const Json::Value& member = value.isObject() ? value[key] : Json::Value::nullSingleton();
  return member.isBool() && member.asBool();
}

const Json::Value& List(const Json::Value& value, const char* key) {
  const Json::Value& member = value.isObject() ? value[key] : Json::Value::nullSingleton();
  return member.isArray() ? member : Json::Value::nullSingleton();
}

Json::Value ToJson(const JobOffer& offer) {
  Json::Value value;
  value["job"] = offer.job;
  value["caller"] = offer.caller;
  value["service"] = offer.service;
  value["epoch"] = Json::UInt64{offer.epoch};
  value["pending"] = Json::UInt64{offer.pending};
  value["pending_solo"] = Json::UInt64{offer.pending_solo};
  value["laxity_ms"] = Json::Int64{offer.laxity.count()};
  return value;
}

JobOffer ReadOffer(const Json::Value& value) {
  JobOffer offer;
  offer.job = Text(value, "job");
  offer.caller = Text(value, "caller");
  offer.service = Text(value, "service");
  offer.epoch = Unsigned(value, "epoch");
  offer.pending = Unsigned(value, "pending");
  offer.pending_solo = Unsigned(value, "pending_solo");
  if (value.isObject() && value["laxity_ms"].isInt64()) {
    offer.laxity = std::chrono::milliseconds(value["laxity_ms"].asInt64());
  }
  return offer;
}

Json::Value ToJson(const std::string& job, const HeldItem& held) {
  Json::Value value;
  value["job"] = job;
  value["item"] = held.item;
  value["attempt"] = Json::UInt64{held.attempt};
  return value;
}

Json::Value ToJson(const std::map<std::string, std::vector<HeldItem>>& held) {
  Json::Value list(Json::arrayValue);
  for (const auto& [job, items] : held) {
    for (const HeldItem& item : items) {
      list.append(ToJson(job, item));
    }
  }
  return list;
}

std::map<std::string, std::vector<HeldItem>> ReadHeld(const Json::Value& list) {
  std::map<std::string, std::vector<HeldItem>> held;
  for (const Json::Value& value : list) {
    held[Text(value, "job")].push_back(
        {static_cast<std::uint32_t>(Unsigned(value, "item")), Unsigned(value, "attempt")});
  }
  return held;
}

PartialAnswer ReadPartial(const Json::Value& value) {
  return {Text(value, "partial"), static_cast<std::int64_t>(Unsigned(value, "partial_tokens"))};
}

void WritePartial(Json::Value& value, const PartialAnswer& partial) {
  value["partial"] = partial.text;
  value["partial_tokens"] = Json::UInt64{static_cast<std::uint64_t>(partial.tokens)};
}

ItemResult ReadResult(const Json::Value& value) {
  ItemResult result;
  result.item = static_cast<std::uint32_t>(Unsigned(value, "item"));
  result.attempt = Unsigned(value, "attempt");
  const std::string outcome = Text(value, "outcome");
  for (const AttemptOutcome known :
       {AttemptOutcome::kSucceeded, AttemptOutcome::kRejected, AttemptOutcome::kFailed,
        AttemptOutcome::kLost, AttemptOutcome::kTimedOut, AttemptOutcome::kNotRun,
        AttemptOutcome::kPreempted}) {
    if (outcome == NameOf(known)) {
      result.outcome = known;
    }
  }
  result.line = Text(value, "line");
  result.partial = ReadPartial(value);
  return result;
}

Json::Value ResultsToJson(const std::map<std::string, std::vector<ItemResult>>& results) {
  Json::Value list(Json::arrayValue);
  for (const auto& [job, items] : results) {
    for (const ItemResult& item : items) {
      Json::Value value = ToJson(job, HeldItem{item.item, item.attempt});
      value["outcome"] = NameOf(item.outcome);
      value["line"] = item.line;
      WritePartial(value, item.partial);
      list.append(std::move(value));
    }
  }
  return list;
}

}  // namespace

Json::Value ToJson(const OfferMessage& message) {
  Json::Value value;
  value["owner"] = message.owner;
  value["offers"] = Json::Value(Json::arrayValue);
  for (const JobOffer& offer : message.offers) {
    value["offers"].append(ToJson(offer));
  }
  return value;
}

Json::Value ToJson(const ExchangeRequest& request) {
  Json::Value value;
  value["puller"] = request.puller;
  value["sequence"] = Json::UInt64{request.sequence};
  value["results"] = ResultsToJson(request.results);
  value["held"] = ToJson(request.held);
  value["wanted"] = Json::Value(Json::arrayValue);
  for (const auto& [job, wanted] : request.wanted) {
    Json::Value entry;
    entry["job"] = job;
    entry["count"] = Json::UInt64{wanted.count};
    entry["solo"] = Json::UInt64{wanted.solo};
    value["wanted"].append(std::move(entry));
  }
  return value;
}

Json::Value ToJson(const ExchangeReply& reply) {
  Json::Value value;
  value["granted"] = Json::Value(Json::arrayValue);
  for (const GrantedItem& item : reply.granted) {
    Json::Value entry = ToJson(item.job, HeldItem{item.grant.item, item.grant.attempt});
    entry["service"] = item.service;
    entry["solo"] = item.grant.solo;
    entry["at_most_once"] = item.at_most_once;
    WritePartial(entry, item.grant.partial);
    entry["line"] = item.line;
    value["granted"].append(std::move(entry));
  }
  value["dropped"] = ToJson(reply.dropped);
  value["unknown_jobs"] = Json::Value(Json::arrayValue);
  for (const std::string& job : reply.unknown_jobs) {
    value["unknown_jobs"].append(job);
  }
  value["offers"] = Json::Value(Json::arrayValue);
  for (const JobOffer& offer : reply.offers) {
    value["offers"].append(ToJson(offer));
  }
  return value;
}

OfferMessage ReadOfferMessage(const Json::Value& value) {
  OfferMessage message;
  message.owner = Text(value, "owner");
  for (const Json::Value& offer : List(value, "offers")) {
    message.offers.push_back(ReadOffer(offer));
  }
  return message;
}

ExchangeRequest ReadExchangeRequest(const Json::Value& value) {
  ExchangeRequest request;
  request.puller = Text(value, "puller");
  request.sequence = Unsigned(value, "sequence");
  for (const Json::Value& result : List(value, "results")) {
    request.results[Text(result, "job")].push_back(ReadResult(result));
  }
  request.held = ReadHeld(List(value, "held"));
  for (const Json::Value& entry : List(value, "wanted")) {
    request.wanted[Text(entry, "job")] = {Unsigned(entry, "count"), Unsigned(entry, "solo")};
  }
  return request;
}

ExchangeReply ReadExchangeReply(const Json::Value& value) {
  ExchangeReply reply;
  for (const Json::Value& entry : List(value, "granted")) {
    GrantedItem item;
    item.job = Text(entry, "job");
    item.service = Text(entry, "service");
    item.grant = {static_cast<std::uint32_t>(Unsigned(entry, "item")), Unsigned(entry, "attempt"),
                  Bool(entry, "solo"), ReadPartial(entry)};
    item.at_most_once = Bool(entry, "at_most_once");
    item.line = Text(entry, "line");
    reply.granted.push_back(std::move(item));
  }
  reply.dropped = ReadHeld(List(value, "dropped"));
  for (const Json::Value& job : List(value, "unknown_jobs")) {
    reply.unknown_jobs.push_back(job.isString() ? job.asString() : std::string());
  }
  for (const Json::Value& offer : List(value, "offers")) {
    reply.offers.push_back(ReadOffer(offer));
  }
  return reply;
}

}  // namespace lentilhead::batch::internal
