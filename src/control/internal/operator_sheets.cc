#include <charconv>
#include <utility>

#include "control/internal/operator_state.h"
#include "control/internal/sheet_json.h"
#include "framework/log_event.h"
#include "sheet/sheet_parser.h"

namespace lentilhead::control {

namespace {

using framework::HttpError;
using framework::LogEvent;
using framework::Severity;
using sheet::SheetStoreErrorKind;

std::optional<sheet::Revision> ParseRevision(const std::optional<std::string>& text) {
  sheet::Revision revision = 0;
  if (!text || text->empty()) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, revision);
  return error == std::errc() && stop == end ? std::optional(revision) : std::nullopt;
}

HttpError InvalidQueryError(const char* code, const char* message) {
  return {400, "invalid_request_error", code, message, std::nullopt, "not_run"};
}

}  // namespace

void OperatorApi::State::SubmitSheet(const Exchange& exchange, const std::string& operator_name) {
  const auto expected = ParseRevision(exchange->Query("expected"));
  if (!expected) {
    this->RespondError(exchange, InvalidQueryError("missing_expected_revision",
                                                   "the query must give the expected revision"));
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(parsed, sheet::ParseSheet(exchange->Body()));
        if (exchange->Query("dry_run").value_or("0") != "0") {
          this->DryRun(exchange, parsed, *expected);
        } else {
          this->StoreSheet(exchange, operator_name, std::move(parsed), *expected);
        }
        return {};
      },
      [&](const sheet::SheetProblems& problems) {
        this->RespondError(exchange,
                           {400, "invalid_request_error", "invalid_sheet", "the sheet has errors",
                            std::nullopt, "not_run"},
                           {{"problems", internal::ProblemsToJson(problems)}});
      },
      [&]() {
        this->RespondError(exchange, {500, "server_error", "internal", "the sheet cannot be read",
                                      std::nullopt, "not_run"});
      });
}

SheetDiff OperatorApi::State::DiffAgainstCurrent(const sheet::Sheet& sheet) const {
  const auto current = this->dependencies.sheet.Current();
  return CompareSheets(current ? current->sheet : sheet::Sheet{}, sheet);
}

void OperatorApi::State::DryRun(const Exchange& exchange, const sheet::Sheet& sheet,
                                sheet::Revision expected) {
  const sheet::Revision current = this->dependencies.sheet.CurrentRevision();
  const nlohmann::json body = {{"dry_run", true},
                               {"current_revision", current},
                               {"would_conflict", current != expected},
                               {"diff", internal::DiffToJson(this->DiffAgainstCurrent(sheet))}};
  framework::RespondJson(*exchange, 200, body.dump());
}

void OperatorApi::State::StoreSheet(const Exchange& exchange, const std::string& operator_name,
                                    sheet::Sheet sheet, sheet::Revision expected) {
  nlohmann::json diff = internal::DiffToJson(this->DiffAgainstCurrent(sheet));
  this->dependencies.sheets.Submit(
      std::string(exchange->Body()), std::move(sheet), expected, operator_name,
      [weak = weak_from_this(), exchange, operator_name, diff = std::move(diff)](auto reply) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (!reply) {
          self->RespondStoreError(exchange, reply.Error());
          return;
        }
        const auto& accepted = reply.Value();
        LogEvent(Severity::kInfo, "sheet_accepted")
            .With("operator", operator_name)
            .With("revision", accepted->revision);
        self->dependencies.metrics.GetCounter("sheet_accepted_total").Add();
        self->dependencies.sheet.Offer(accepted);
        framework::RespondJson(
            *exchange, 200,
            nlohmann::json{{"revision", accepted->revision}, {"diff", diff}}.dump());
      });
}

void OperatorApi::State::RespondStoreError(const Exchange& exchange,
                                           const sheet::SheetStoreError& error) {
  switch (error.kind) {
    case SheetStoreErrorKind::kConflict:
      this->RespondError(exchange,
                         {409, "conflict_error", "revision_conflict", "another revision is current",
                          std::nullopt, "not_run"},
                         {{"current_revision", error.current}, {"current_by", error.current_by}});
      return;
    case SheetStoreErrorKind::kNotFound:
      this->RespondError(exchange, {404, "not_found_error", "unknown_revision",
                                    "the revision was never accepted", std::nullopt, ""});
      return;
    case SheetStoreErrorKind::kUnavailable:
      this->RespondError(exchange, {503, "unavailable_error", "store_unavailable",
                                    "the store is unavailable; nothing was changed",
                                    std::chrono::seconds(1), "not_run"});
      return;
    case SheetStoreErrorKind::kOutcomeUnknown:
      this->RespondError(exchange, {504, "unavailable_error", "outcome_unknown",
                                    "the sheet may or may not have been accepted; see the history",
                                    std::chrono::seconds(1), "unknown"});
      return;
    case SheetStoreErrorKind::kInvalidBody:
      this->RespondError(exchange, {502, "server_error", "stored_sheet_unreadable",
                                    "a stored sheet cannot be read", std::nullopt, ""});
      return;
  }
}

void OperatorApi::State::ShowSheet(const Exchange& exchange, const std::string& /*operator_name*/) {
  const auto requested = exchange->Query("revision");
  const auto current = this->dependencies.sheet.Current();
  if (!requested) {
    if (!current) {
      this->RespondError(exchange, {404, "not_found_error", "no_sheet", "no sheet is in force yet",
                                    std::nullopt, ""});
      return;
    }
    framework::RespondJson(*exchange, 200, internal::SheetToJson(*current).dump());
    return;
  }
  const auto revision = ParseRevision(requested);
  if (!revision) {
    this->RespondError(exchange,
                       InvalidQueryError("invalid_revision", "the revision must be a number"));
    return;
  }
  this->dependencies.sheets.Fetch(*revision, [weak = weak_from_this(), exchange](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!reply) {
      self->RespondStoreError(exchange, reply.Error());
      return;
    }
    framework::RespondJson(*exchange, 200, internal::SheetToJson(*reply.Value()).dump());
  });
}

void OperatorApi::State::ShowHistory(const Exchange& exchange,
                                     const std::string& /*operator_name*/) {
  this->dependencies.sheets.FetchHistory([weak = weak_from_this(), exchange](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!reply) {
      self->RespondStoreError(exchange, reply.Error());
      return;
    }
    const nlohmann::json body = {{"history", internal::HistoryToJson(reply.Value())}};
    framework::RespondJson(*exchange, 200, body.dump());
  });
}

}  // namespace lentilhead::control
