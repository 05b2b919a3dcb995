#include "sheet/internal/csv_record.h"

#include <csv.h>

#include <utility>

namespace lentilhead::sheet::internal {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// A line of these characters alone is no record.
constexpr std::string_view kBlank = " \t\r\n";

/// Feeds libcsv line by line, so that each record is known by its first line.
class CsvReader {
 public:
  explicit CsvReader(std::vector<SheetProblem>& problems) : problems(problems) { this->Open(); }
  ~CsvReader() { csv_free(&this->parser); }
  CsvReader(const CsvReader&) = delete;
  CsvReader& operator=(const CsvReader&) = delete;

  void Feed(std::string_view line) {
    this->line += 1;
    if (!this->in_record) {
      this->record.line = this->line;
      this->in_record = line.find_first_not_of(kBlank) != std::string_view::npos;
    }
    const std::size_t used =
        csv_parse(&this->parser, line.data(), line.size(), HandleField, HandleEnd, this);
    if (used != line.size()) {
      this->Fail("the quoting is malformed");
    }
  }

  std::vector<CsvRecord> Finish() {
    if (csv_fini(&this->parser, HandleField, HandleEnd, this) != 0) {
      this->Fail("a quoted value does not end");
    }
    return std::move(this->records);
  }

 private:
  static void HandleField(void* data, std::size_t size, void* self) {
    auto* reader = static_cast<CsvReader*>(self);
    reader->record.fields.emplace_back(static_cast<const char*>(data), size);
  }

  static void HandleEnd(int /*terminator*/, void* self) {
    auto* reader = static_cast<CsvReader*>(self);
    reader->records.push_back(std::move(reader->record));
    reader->record = {.line = reader->line};
    reader->in_record = false;
  }

  void Open() { csv_init(&this->parser, CSV_STRICT | CSV_STRICT_FINI); }

  void Fail(const char* message) {
    this->problems.push_back({SheetProblemKind::kInvalidCsv, this->record.line, "", message});
    csv_free(&this->parser);
    this->Open();
    this->record = {};
    this->in_record = false;
  }

  std::vector<SheetProblem>& problems;
  csv_parser parser{};
  int line = 0;
  bool in_record = false;
  CsvRecord record;
  std::vector<CsvRecord> records;
};

}  // namespace

std::vector<CsvRecord> ReadCsv(std::string_view text, std::vector<SheetProblem>& problems) {
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  CsvReader reader(problems);
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::size_t size = end == std::string_view::npos ? text.size() : end + 1;
    reader.Feed(text.substr(0, size));
    text.remove_prefix(size);
  }
  return reader.Finish();
}

}  // namespace lentilhead::sheet::internal
