#include "batch/internal/job_keys.h"

#include "framework/hash.h"

namespace lentilhead::batch::internal {

namespace {

constexpr std::size_t kIdHexDigits = 32;
constexpr std::size_t kPartitionHexDigits = 16;

}  // namespace

std::string JobIdOf(const std::string& caller, const std::string& idempotency_key) {
  std::string identity = caller;
  identity.push_back('\0');
  identity += idempotency_key;
  return "job-" + framework::Sha256Hex(identity).substr(0, kIdHexDigits);
}

int ShardOf(const std::string& job, int shards) {
  return static_cast<int>(framework::Hash(job) % static_cast<std::uint64_t>(shards));
}

std::string JobPartition(const std::string& caller) {
  return "batch-jobs-" + framework::Sha256Hex(caller).substr(0, kPartitionHexDigits);
}

std::string OpenPartition(int shard) { return "batch-open-" + std::to_string(shard); }

std::string EndedPartition(int shard) { return "batch-ended-" + std::to_string(shard); }

std::string LeaseKey(int shard) { return "shard-" + std::to_string(shard); }

std::string UploadKey(const std::string& job, const std::string& upload) {
  return job + "-upload-" + upload;
}

std::string CancelKey(const std::string& job) { return job + "-cancel"; }

std::string ItemsObject(const std::string& job, const std::string& upload, std::size_t segment) {
  return "items/" + job + "/" + upload + "/" + std::to_string(segment);
}

std::string ResultsObject(const std::string& job, std::uint64_t epoch, std::uint64_t sequence) {
  return "results/" + job + "/" + std::to_string(epoch) + "-" + std::to_string(sequence);
}

}  // namespace lentilhead::batch::internal
