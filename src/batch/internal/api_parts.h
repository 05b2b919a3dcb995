#pragma once

#include <memory>
#include <string>

#include "batch/batch_settings.h"
#include "batch/types/job_record.h"
#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_settings.h"
#include "framework/http_error.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::batch::internal {

/// Parts of one task that the job interface uses.
struct ApiParts {
  const BatchSettings& settings;
  const endpoint::EndpointSettings& services;
  datastore::TableClient& table;
  datastore::ObjectStoreClient& objects;
  datastore::ResolvedWriter& writer;
  framework::TimerService& timers;
  framework::Metrics& metrics;
};

/// Answers with an error and counts it under its code.
void Refuse(ApiParts& parts, framework::HttpExchange& exchange, const framework::HttpError& error);

/// Answers a failed read or write of the table. @param outcome `not_run` or `unknown`.
void RefuseUnavailable(ApiParts& parts, framework::HttpExchange& exchange,
                       const std::string& outcome);

/// Answers for a job that does not exist or is another caller's.
void RefuseUnknownJob(ApiParts& parts, framework::HttpExchange& exchange);

/// Renders the status of a job.
std::string RenderStatus(const JobRecord& record);

/// Reads a job row; no value if it cannot be read.
std::optional<JobRecord> ReadJobRow(const datastore::TableRow& row);

}  // namespace lentilhead::batch::internal
