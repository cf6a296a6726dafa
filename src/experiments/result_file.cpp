#include "experiments/result_file.h"

#include <unistd.h>

#include <fstream>
#include <stdexcept>

namespace beechhill::experiments {

std::string to_json_line(const Json::Value& value) {
  constexpr int kDigits = 9;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = kDigits;
  return Json::writeString(builder, value);
}

Json::Value make_result_row(const emulator::Scenario& scenario, const std::string& policy,
                            const Json::Value& result) {
  Json::Value row;
  row["cell"]["policy"] = policy;
  row["cell"]["seed"] = static_cast<Json::UInt64>(scenario.seed);
  row["cell"]["scenario"] = scenario.name;
  row["cell"]["params"] = Json::Value(Json::objectValue);
  row["result"] = result;
  return row;
}

void write_lines(const std::string& path, const std::vector<Json::Value>& rows) {
  std::ofstream out(path);
  for (const Json::Value& row : rows) {
    out << to_json_line(row) << "\n";
  }
  if (!out.flush()) {
    throw std::runtime_error(path + ": cannot be written");
  }
}

std::vector<Json::Value> read_lines(const std::string& path, bool& torn) {
  std::vector<Json::Value> rows;
  std::ifstream in(path, std::ios::binary);
  std::string line;
  torn = false;
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  while (std::getline(in, line)) {
    Json::Value row;
    std::string errors;
    const bool complete = !in.eof() &&
                          reader->parse(line.data(), line.data() + line.size(), &row, &errors) &&
                          row.isObject() && row.isMember("cell");
    if (complete) {
      rows.push_back(std::move(row));
    } else {
      torn = true;  // skips the line and reads those after it
    }
  }
  return rows;
}

LineWriter::LineWriter(std::string path, const char* mode)
    : path_(std::move(path)), file_(std::fopen(path_.c_str(), mode)) {
  if (!file_) {
    throw_write_error();
  }
}

void LineWriter::write(const std::string& line) {
  if (std::fwrite(line.data(), 1, line.size(), file_.get()) != line.size() ||
      std::fputc('\n', file_.get()) == EOF || std::fflush(file_.get()) != 0) {
    throw_write_error();
  }
}

void LineWriter::sync() {
  if (::fsync(::fileno(file_.get())) != 0) {
    throw_write_error();
  }
}

void LineWriter::throw_write_error() const {
  throw std::runtime_error(path_ + ": cannot be written");
}

}  // namespace beechhill::experiments
