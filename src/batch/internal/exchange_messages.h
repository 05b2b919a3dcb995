#pragma once

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "batch/types/held_item.h"
#include "batch/types/item_grant.h"
#include "batch/types/item_result.h"
#include "batch/types/job_offer.h"

namespace lentilhead::batch::internal {

inline constexpr const char* kOfferProcedure = "batch.offer";
inline constexpr const char* kExchangeProcedure = "batch.exchange";

/// Offers of one job owner to one endpoint owner.
struct OfferMessage {
  std::string owner;
  std::vector<JobOffer> offers;
};

/// Number of items of one job that an endpoint owner requests.
struct WantedItems {
  std::size_t count = 0;
  std::size_t solo = 0;
};

/// Message of an endpoint owner to a job owner: its results, the items that it holds, and the items
/// that it requests.
struct ExchangeRequest {
  std::string puller;  ///< `instance/run`.
  std::uint64_t sequence = 0;
  std::map<std::string, std::vector<ItemResult>> results;  ///< By job.
  std::map<std::string, std::vector<HeldItem>> held;
  std::map<std::string, WantedItems> wanted;
};

/// A granted item with its line of the submission.
struct GrantedItem {
  std::string job;
  std::string service;
  ItemGrant grant;
  bool at_most_once = false;
  std::string line;
};

/// Reply of a job owner to an endpoint owner.
struct ExchangeReply {
  std::vector<GrantedItem> granted;
  std::map<std::string, std::vector<HeldItem>> dropped;
  std::vector<std::string> unknown_jobs;
  std::vector<JobOffer> offers;  ///< Remaining work of the jobs in the request's `wanted`.
};

Json::Value ToJson(const OfferMessage& message);
Json::Value ToJson(const ExchangeRequest& request);
Json::Value ToJson(const ExchangeReply& reply);

/// Parse a message. Members that are missing or have another type are read as empty.
OfferMessage ReadOfferMessage(const Json::Value& value);
ExchangeRequest ReadExchangeRequest(const Json::Value& value);
ExchangeReply ReadExchangeReply(const Json::Value& value);

}  // namespace lentilhead::batch::internal
