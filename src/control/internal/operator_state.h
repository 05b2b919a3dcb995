#pragma once

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

#include "control/operator_api.h"
#include "control/types/sheet_diff.h"
#include "framework/http_error.h"

namespace lentilhead::control {

/// Request handlers of the operator API.
class OperatorApi::State : public std::enable_shared_from_this<OperatorApi::State> {
 public:
  State(const endpoint::EndpointSettings& endpoints, Dependencies dependencies);

  void RegisterRoutes(framework::HttpRouter& router, Authenticator check);

 private:
  using Exchange = std::shared_ptr<framework::HttpExchange>;
  using Handler = void (State::*)(const Exchange&, const std::string& operator_name);

  void Add(framework::HttpRouter& router, const char* method, const char* path, Handler handler);

  // Handlers of sheets.
  void SubmitSheet(const Exchange& exchange, const std::string& operator_name);
  void DryRun(const Exchange& exchange, const sheet::Sheet& sheet, sheet::Revision expected);
  void StoreSheet(const Exchange& exchange, const std::string& operator_name, sheet::Sheet sheet,
                  sheet::Revision expected);
  void ShowSheet(const Exchange& exchange, const std::string& operator_name);
  void ShowHistory(const Exchange& exchange, const std::string& operator_name);
  void RespondStoreError(const Exchange& exchange, const sheet::SheetStoreError& error);
  [[nodiscard]] SheetDiff DiffAgainstCurrent(const sheet::Sheet& sheet) const;

  // Handlers of instances and endpoints.
  void ShowFleet(const Exchange& exchange, const std::string& operator_name);
  void ShowEndpoints(const Exchange& exchange, const std::string& operator_name);
  void ShowRollouts(const Exchange& exchange, const std::string& operator_name);
  void ChangeEndpoint(const Exchange& exchange, const std::string& operator_name);
  void ChangeInstance(const Exchange& exchange, const std::string& operator_name);
  void ChangeDrain(const Exchange& exchange, const std::string& operator_name,
                   fleet::DrainTarget target, std::string_view prefix);

  void RespondError(const Exchange& exchange, framework::HttpError error,
                    const nlohmann::json& details = {});

  endpoint::EndpointSettings endpoints;
  Dependencies dependencies;
  Authenticator authenticator;
};

}  // namespace lentilhead::control
