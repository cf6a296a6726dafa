#include "config/operator_file.h"

namespace beechhill::config {

OperatorSettings read_operator(const toml::table& root, const std::string& file) {
  OperatorSettings o;
  TomlReader r(root, file);
  TomlReader l = r.table("log");
  o.log.level = static_cast<log::Level>(
      l.word("level", static_cast<std::size_t>(o.log.level), {"debug", "info", "warning", "error", "off"}));
  o.log.format = static_cast<log::Format>(l.word("format", 0, {"logfmt", "json"}));
  o.log.time = l.flag("time", false);
  o.log.queue = static_cast<std::size_t>(l.integer("queue", static_cast<std::int64_t>(o.log.queue), 16, 65'536));
  l.finish();
  r.finish();
  return o;
}

OperatorSettings load_operator(const std::string& path) {
  if (path.empty()) return {};
  return read_operator(load_toml(path), path);
}

}  // namespace beechhill::config
