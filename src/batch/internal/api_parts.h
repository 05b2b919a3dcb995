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

/// Objects that the job API uses. Each reference must outlive the API.
struct ApiParts {
  const BatchSettings& settings;
  const endpoint::EndpointSettings& services;
  datastore::TableClient& table;
  datastore::ObjectStoreClient& objects;
  datastore::ResolvedWriter& writer;
  framework::TimerService& timers;
  framework::Metrics& metrics;
};

/// Responds with an error and counts the refusal under the error's code.
void Refuse(ApiParts& parts, framework::HttpExchange& exchange, const framework::HttpError& error);

/// Responds with 503 after a failed read or write of the store. @param outcome `not_run` or
/// `unknown`.
void RefuseUnavailable(ApiParts& parts, framework::HttpExchange& exchange,
                       const std::string& outcome);

/// Responds with 404 for a job that does not exist or belongs to another caller.
void RefuseUnknownJob(ApiParts& parts, framework::HttpExchange& exchange);

/// Renders the status of a job as JSON.
std::string RenderStatus(const JobRecord& record);

/// Reads a job row; no value if it cannot be read.
std::optional<JobRecord> ReadJobRow(const datastore::TableRow& row);

}  // namespace lentilhead::batch::internal
