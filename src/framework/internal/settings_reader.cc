#include "framework/settings_reader.h"

#include <toml++/toml.h>
#include <fstream>
#include <iterator>

namespace lentilhead::framework {

struct SettingsReader::Document {
  toml::table root;
};

namespace {

int LineOf(const toml::table& root, const std::string& key) {
  const toml::node* node = root.at_path(key).node();
  return node == nullptr ? 0 : static_cast<int>(node->source().begin.line);
}

bool IsCovered(const std::set<std::string>& touched, const std::string& path) {
  return touched.contains(path);
}

void CollectUnknown(const toml::node& node, const std::string& path,
                    const std::set<std::string>& touched,
                    std::vector<std::pair<std::string, int>>& unknown) {
  if (IsCovered(touched, path)) {
    return;
  }
  if (const toml::table* table = node.as_table()) {
    for (const auto& [key, child] : *table) {
      std::string child_path = path;
      child_path.append(path.empty() ? "" : ".").append(key.str());
      CollectUnknown(child, child_path, touched, unknown);
    }
    return;
  }
  const toml::array* array = node.as_array();
  if (array != nullptr && !array->empty() && array->is_array_of_tables()) {
    for (std::size_t index = 0; index < array->size(); ++index) {
      CollectUnknown((*array)[index], path + "[" + std::to_string(index) + "]", touched, unknown);
    }
    return;
  }
  unknown.emplace_back(path, static_cast<int>(node.source().begin.line));
}

}  // namespace

std::string Describe(const SettingsProblem& problem) {
  std::string text = problem.file;
  if (problem.line > 0) {
    text.append(":").append(std::to_string(problem.line));
  }
  if (!problem.key.empty()) {
    text.append(": ").append(problem.key);
  }
  return text.append(": ").append(problem.message);
}

SettingsReader::SettingsReader(const std::string& file)
    : file(file), document(std::make_unique<Document>()) {
  std::ifstream stream(file);
  if (!stream) {
    this->problems.push_back(
        {SettingsProblemKind::kUnreadableFile, file, 0, "", "the file cannot be read"});
    return;
  }
  this->Parse(std::string(std::istreambuf_iterator<char>(stream), {}));
}

SettingsReader::SettingsReader(const std::string& text, const std::string& name)
    : file(name), document(std::make_unique<Document>()) {
  this->Parse(text);
}

SettingsReader::~SettingsReader() = default;

void SettingsReader::Parse(const std::string& text) {
  try {
    this->document->root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    this->problems.push_back({SettingsProblemKind::kInvalidToml, this->file,
                              static_cast<int>(error.source().begin.line), "",
                              std::string(error.description())});
  }
}

void SettingsReader::Touch(const std::string& key) { this->touched.insert(key); }

bool SettingsReader::Has(const std::string& key) const {
  return this->document->root.at_path(key).node() != nullptr;
}

std::string SettingsReader::RequiredString(const std::string& key) {
  if (!this->Has(key)) {
    this->Report(SettingsProblemKind::kMissingKey, key, "a string is required");
    return {};
  }
  std::string value = this->String(key, "");
  if (value.empty() && this->document->root.at_path(key).is_string()) {
    this->Report(SettingsProblemKind::kInvalidValue, key, "must not be empty");
  }
  return value;
}

std::string SettingsReader::String(const std::string& key, const std::string& fallback) {
  this->Touch(key);
  if (!this->Has(key)) {
    return fallback;
  }
  const auto value = this->document->root.at_path(key).value_exact<std::string>();
  if (!value) {
    this->Report(SettingsProblemKind::kWrongType, key, "must be a string");
    return fallback;
  }
  return *value;
}

std::int64_t SettingsReader::RequiredInteger(const std::string& key, std::int64_t lowest,
                                             std::int64_t highest) {
  if (!this->Has(key)) {
    this->Report(SettingsProblemKind::kMissingKey, key, "an integer is required");
    return lowest;
  }
  return this->Integer(key, lowest, lowest, highest);
}

std::int64_t SettingsReader::Integer(const std::string& key, std::int64_t fallback,
                                     std::int64_t lowest, std::int64_t highest) {
  this->Touch(key);
  if (!this->Has(key)) {
    return fallback;
  }
  const auto value = this->document->root.at_path(key).value_exact<std::int64_t>();
  if (!value) {
    this->Report(SettingsProblemKind::kWrongType, key, "must be an integer");
    return fallback;
  }
  if (*value < lowest || *value > highest) {
    this->Report(SettingsProblemKind::kOutOfRange, key,
                 "must be from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return fallback;
  }
  return *value;
}

double SettingsReader::Number(const std::string& key, double fallback, double lowest,
                              double highest) {
  this->Touch(key);
  if (!this->Has(key)) {
    return fallback;
  }
  const auto value = this->document->root.at_path(key).value<double>();
  if (!value) {
    this->Report(SettingsProblemKind::kWrongType, key, "must be a number");
    return fallback;
  }
  if (!(*value >= lowest && *value <= highest)) {
    this->Report(SettingsProblemKind::kOutOfRange, key,
                 "must be from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return fallback;
  }
  return *value;
}

bool SettingsReader::Boolean(const std::string& key, bool fallback) {
  this->Touch(key);
  if (!this->Has(key)) {
    return fallback;
  }
  const auto value = this->document->root.at_path(key).value_exact<bool>();
  if (!value) {
    this->Report(SettingsProblemKind::kWrongType, key, "must be true or false");
    return fallback;
  }
  return *value;
}

std::vector<std::string> SettingsReader::Strings(const std::string& key) {
  this->Touch(key);
  std::vector<std::string> values;
  if (!this->Has(key)) {
    return values;
  }
  const toml::array* array = this->document->root.at_path(key).as_array();
  if (array == nullptr) {
    this->Report(SettingsProblemKind::kWrongType, key, "must be an array of strings");
    return values;
  }
  for (const toml::node& node : *array) {
    const auto value = node.value_exact<std::string>();
    if (!value) {
      this->Report(SettingsProblemKind::kWrongType, key, "must be an array of strings");
      return {};
    }
    values.push_back(*value);
  }
  return values;
}

std::chrono::milliseconds SettingsReader::Milliseconds(const std::string& key,
                                                       std::chrono::milliseconds fallback,
                                                       std::chrono::milliseconds lowest,
                                                       std::chrono::milliseconds highest) {
  return std::chrono::milliseconds(
      this->Integer(key, fallback.count(), lowest.count(), highest.count()));
}

std::string SettingsReader::Choice(const std::string& key, const std::string& fallback,
                                   const std::vector<std::string>& allowed) {
  std::string value = this->String(key, fallback);
  for (const std::string& word : allowed) {
    if (word == value) {
      return value;
    }
  }
  std::string message = "must be one of";
  for (const std::string& word : allowed) {
    message.append(" ").append(word);
  }
  this->Report(SettingsProblemKind::kInvalidValue, key, message);
  return fallback;
}

std::size_t SettingsReader::TableCount(const std::string& key) {
  if (!this->Has(key)) {
    return 0;
  }
  const toml::array* array = this->document->root.at_path(key).as_array();
  if (array == nullptr || !array->is_array_of_tables()) {
    this->Touch(key);
    this->Report(SettingsProblemKind::kWrongType, key, "must be an array of tables");
    return 0;
  }
  return array->size();
}

std::vector<std::string> SettingsReader::KeysUnder(const std::string& key) {
  std::vector<std::string> names;
  if (!this->Has(key)) {
    return names;
  }
  const toml::table* table = this->document->root.at_path(key).as_table();
  if (table == nullptr) {
    this->Touch(key);
    this->Report(SettingsProblemKind::kWrongType, key, "must be a table");
    return names;
  }
  for (const auto& [name, child] : *table) {
    names.emplace_back(name.str());
  }
  return names;
}

void SettingsReader::Report(SettingsProblemKind kind, const std::string& key,
                            const std::string& message) {
  this->problems.push_back({kind, this->file, LineOf(this->document->root, key), key, message});
}

Result<void> SettingsReader::Finish() {
  const bool parsed =
      this->problems.empty() || (this->problems[0].kind != SettingsProblemKind::kInvalidToml &&
                                 this->problems[0].kind != SettingsProblemKind::kUnreadableFile);
  if (!parsed) {
    this->problems.resize(1);
    return boost::leaf::new_error(SettingsProblems{this->problems});
  }
  std::vector<std::pair<std::string, int>> unknown;
  CollectUnknown(this->document->root, "", this->touched, unknown);
  for (const auto& [key, line] : unknown) {
    this->problems.push_back(
        {SettingsProblemKind::kUnknownKey, this->file, line, key, "the key is unknown"});
  }
  if (this->problems.empty()) {
    return {};
  }
  return boost::leaf::new_error(SettingsProblems{this->problems});
}

}  // namespace lentilhead::framework
