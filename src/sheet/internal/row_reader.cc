#include "sheet/internal/row_reader.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace lentilhead::sheet::internal {

namespace {

constexpr std::size_t kMaxNameSize = 128;
constexpr int kMaxCapacity = 100'000;
constexpr char kListSeparator = '|';
constexpr std::string_view kNameMarks = "._/-";
constexpr std::chrono::minutes kDay{24 * 60};
constexpr std::size_t kWindowSize = 11;  // HH:MM-HH:MM
constexpr std::size_t kTimeSize = 5;     // HH:MM

bool IsNameLetter(char letter) {
  return g_ascii_isalnum(letter) || kNameMarks.find(letter) != std::string_view::npos;
}

bool IsName(const std::string& text) {
  return text.size() <= kMaxNameSize && std::all_of(text.begin(), text.end(), IsNameLetter);
}

std::optional<int> ReadNumber(std::string_view text) {
  int number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

/// Reads two digits; a sign is no digit.
std::optional<int> ReadTwoDigits(std::string_view text) {
  if (!g_ascii_isdigit(text[0]) || !g_ascii_isdigit(text[1])) {
    return std::nullopt;
  }
  return ReadNumber(text);
}

/// Reads `HH:MM` up to 24:00.
std::optional<std::chrono::minutes> ReadTime(std::string_view text) {
  if (text[2] != ':') {
    return std::nullopt;
  }
  const auto hours = ReadTwoDigits(text.substr(0, 2));
  const auto minutes = ReadTwoDigits(text.substr(3, 2));
  if (!hours || !minutes || *minutes >= 60) {
    return std::nullopt;
  }
  const std::chrono::minutes time = std::chrono::hours(*hours) + std::chrono::minutes(*minutes);
  if (time > kDay) {
    return std::nullopt;
  }
  return time;
}

}  // namespace

SheetRow RowReader::Read() {
  SheetRow row;
  if (this->record.fields.size() != this->columns.Count()) {
    this->problems.push_back({SheetProblemKind::kInvalidCsv, this->record.line, "",
                              "the header has " + std::to_string(this->columns.Count()) +
                                  " columns and this row " +
                                  std::to_string(this->record.fields.size())});
    this->failed = true;
    return row;
  }
  row.service = this->ReadName(Column::kService, true);
  if (row.service.find('/') != std::string::npos) {
    this->Report(SheetProblemKind::kInvalidValue, Column::kService, "must not contain '/'");
  }
  row.adapter = this->ReadName(Column::kAdapter, false);
  row.model = this->ReadName(Column::kModel, !row.adapter.empty());
  row.version = this->ReadName(Column::kVersion, !row.model.empty());
  row.capacity = this->ReadCapacity();
  for (std::string& zone : this->ReadList(Column::kZones)) {
    row.zones.insert(std::move(zone));
  }
  row.roles = this->ReadRoles();
  row.window = this->ReadWindow();
  return row;
}

const std::string& RowReader::Value(Column column) const {
  static const std::string kNone;
  const auto position = this->columns.PositionOf(column);
  return position ? this->record.fields[*position] : kNone;
}

std::string RowReader::ReadName(Column column, bool required) {
  const std::string& value = this->Value(column);
  if (value.empty() && required && this->columns.PositionOf(column)) {
    this->Report(SheetProblemKind::kMissingValue, column, "a value is required");
    return {};
  }
  if (!IsName(value)) {
    this->Report(SheetProblemKind::kInvalidValue, column,
                 "must be at most 128 letters, digits, '.', '_', '-' or '/'");
  }
  return value;
}

int RowReader::ReadCapacity() {
  const std::string& value = this->Value(Column::kCapacity);
  if (!this->columns.PositionOf(Column::kCapacity)) {
    return 0;
  }
  if (value.empty()) {
    this->Report(SheetProblemKind::kMissingValue, Column::kCapacity, "a number is required");
    return 0;
  }
  const auto number = ReadNumber(value);
  if (!number || *number < 0 || *number > kMaxCapacity) {
    this->Report(SheetProblemKind::kInvalidValue, Column::kCapacity,
                 "must be a number from 0 to 100000");
    return 0;
  }
  return *number;
}

std::vector<std::string> RowReader::ReadList(Column column) {
  const std::string& value = this->Value(column);
  std::vector<std::string> entries;
  if (value.empty()) {
    return entries;
  }
  std::string_view rest = value;
  while (true) {
    const std::size_t end = std::min(rest.find(kListSeparator), rest.size());
    std::string entry(rest.substr(0, end));
    if (entry.empty() || !IsName(entry)) {
      this->Report(SheetProblemKind::kInvalidValue, column, "must be names with '|' between them");
    } else if (std::find(entries.begin(), entries.end(), entry) != entries.end()) {
      this->Report(SheetProblemKind::kInvalidValue, column, "names '" + entry + "' twice");
    } else {
      entries.push_back(std::move(entry));
    }
    if (end == rest.size()) {
      return entries;
    }
    rest.remove_prefix(end + 1);
  }
}

std::set<Role> RowReader::ReadRoles() {
  std::set<Role> roles;
  for (const std::string& name : this->ReadList(Column::kRoles)) {
    if (name == "online") {
      roles.insert(Role::kOnline);
    } else if (name == "batch") {
      roles.insert(Role::kBatch);
    } else {
      this->Report(SheetProblemKind::kInvalidValue, Column::kRoles, "must be online or batch");
    }
  }
  if (this->Value(Column::kRoles).empty()) {
    return {Role::kOnline, Role::kBatch};
  }
  return roles;
}

Window RowReader::ReadWindow() {
  const std::string_view value = this->Value(Column::kWindow);
  if (value.empty()) {
    return {};
  }
  if (value.size() == kWindowSize && value[kTimeSize] == '-') {
    const auto start = ReadTime(value.substr(0, kTimeSize));
    const auto end = ReadTime(value.substr(kTimeSize + 1));
    if (start && end && *start < kDay && end->count() > 0 && *start != *end) {
      return {*start, *end};
    }
  }
  this->Report(SheetProblemKind::kInvalidValue, Column::kWindow,
               "must be HH:MM-HH:MM with two different times of the day");
  return {};
}

void RowReader::Report(SheetProblemKind kind, Column column, std::string message) {
  this->failed = true;
  this->problems.push_back({kind, this->record.line,
                            std::string(kColumnNames[static_cast<std::size_t>(column)]),
                            std::move(message)});
}

}  // namespace lentilhead::sheet::internal
