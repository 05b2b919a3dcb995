#include "batch/internal/line_checker.h"

#include <utility>

#include "framework/hash.h"

namespace lentilhead::batch::internal {

namespace {

constexpr std::size_t kMaxReportedFaults = 100;

bool IsBlank(std::string_view line) {
  return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

}  // namespace

LineChecker::LineChecker(std::size_t max_line_bytes, std::size_t max_items,
                         const endpoint::ServiceSettings& service)
    : max_line_bytes(max_line_bytes), max_items(max_items), service(service) {}

void LineChecker::Feed(std::string_view bytes, std::vector<std::string>& lines) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    const std::string_view piece = bytes.substr(0, end);
    if (!this->skipping && this->partial.size() + piece.size() > this->max_line_bytes) {
      this->skipping = true;
      this->partial.clear();
    }
    if (!this->skipping) {
      this->partial.append(piece);
    }
    if (end == std::string_view::npos) {
      return;
    }
    bytes.remove_prefix(end + 1);
    this->CheckLine(this->partial, lines);
    this->partial.clear();
  }
}

void LineChecker::Finish(std::vector<std::string>& lines) {
  if (this->skipping || !this->partial.empty()) {
    this->CheckLine(this->partial, lines);
    this->partial.clear();
  }
}

void LineChecker::CheckLine(std::string_view line, std::vector<std::string>& lines) {
  this->line_number += 1;
  if (std::exchange(this->skipping, false)) {
    this->AddFault(NameOf(JobLineErrorKind::kTooLong), "the line is too long");
    return;
  }
  if (IsBlank(line)) {
    return;
  }
  this->items += 1;
  if (this->items == this->max_items + 1) {
    this->AddFault("too_many_items", "the job has too many items");
  }
  if (this->items > this->max_items) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(parsed, ParseJobLine(line));
        if (!this->custom_ids.insert(framework::Hash(parsed.custom_id)).second) {
          this->AddFault("duplicate_custom_id", "custom_id is used by an earlier line");
          return {};
        }
        this->at_most_once =
            this->at_most_once || this->service.IsNonRepeatable(parsed.method, parsed.url);
        lines.emplace_back(line);
        return {};
      },
      [this](const JobLineError& error) { this->AddFault(NameOf(error.kind), error.detail); },
      [this] { this->AddFault(NameOf(JobLineErrorKind::kInvalidJson), "unreadable line"); });
}

void LineChecker::AddFault(std::string code, std::string message) {
  this->fault_count += 1;
  if (this->faults.size() < kMaxReportedFaults) {
    this->faults.push_back({this->line_number, std::move(code), std::move(message)});
  }
}

}  // namespace lentilhead::batch::internal
