#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "apps/ctl/api_client.h"

namespace lentilhead::apps::ctl {

/// Text table whose columns are as wide as their content.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  /// Adds a row; it must have as many cells as the header.
  void Add(std::vector<std::string> cells);

  /// Writes the table to standard output.
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

/// Text of a JSON value for a cell: strings without quotes, `-` for null.
std::string CellOf(const nlohmann::json& value);

/// Text of a member of an object for a cell: `-` if it is missing or empty.
std::string CellOf(const nlohmann::json& object, const char* member);

/// Writes a JSON value to standard output.
void PrintJson(const nlohmann::json& value);

/// Writes an error answer to standard error. @return exit code for its status and outcome.
int ReportError(const framework::HttpResponse& response);

/// Writes the failure of a request without an answer to standard error. @return exit code.
int ReportFailure(const ApiFailure& failure);

}  // namespace lentilhead::apps::ctl
