#pragma once

#include <cstdint>
#include <string>

namespace lentilhead::batch::internal {

/// Identifier of a job. The same caller and idempotency key always give the same identifier.
std::string JobIdOf(const std::string& caller, const std::string& idempotency_key);

/// Shard of a job. Leases are held per shard.
int ShardOf(const std::string& job, int shards);

/// Partition of the job rows of a caller.
std::string JobPartition(const std::string& caller);

/// Partition that lists the uploads and cancel notices of the jobs of a shard.
std::string OpenPartition(int shard);

/// Partition that lists the ended jobs of a shard until they expire.
std::string EndedPartition(int shard);

/// Partition of the leases. Its keys are those of LeaseKey().
inline constexpr const char* kLeasePartition = "batch-leases";
std::string LeaseKey(int shard);

/// Key of one upload of a job in the open partition.
std::string UploadKey(const std::string& job, const std::string& upload);

/// Key of a job's cancel notice in the open partition.
std::string CancelKey(const std::string& job);

/// Name of the object that stores one segment of items.
std::string ItemsObject(const std::string& job, const std::string& upload, std::size_t segment);

/// Name of the object that stores the results of one commit.
std::string ResultsObject(const std::string& job, std::uint64_t epoch, std::uint64_t sequence);

}  // namespace lentilhead::batch::internal
