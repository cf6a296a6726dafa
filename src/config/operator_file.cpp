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
  TomlReader s = r.table("routing");
  o.subset.nodes = static_cast<std::uint32_t>(s.integer("subset_nodes", 0, 0, 100'000));
  o.subset.coverage = static_cast<std::uint32_t>(s.integer("coverage", o.subset.coverage, 1, 10'000));
  o.subset.proxies = static_cast<std::uint32_t>(s.integer("proxies", 0, 0, 100'000));
  if (s.has("place")) o.subset.place = static_cast<std::uint32_t>(s.integer("place", 0, 0, 100'000));
  if (o.subset.place && *o.subset.place >= o.subset.proxies) s.fault("place", "not under proxies");
  s.finish();
  TomlReader n = r.table("snapshot");
  o.snapshot.folder = n.text("folder", "");
  const Duration every = n.span("every", o.snapshot.every, std::chrono::milliseconds(100));
  o.snapshot.every = std::chrono::duration_cast<std::chrono::milliseconds>(every);
  n.finish();
  r.finish();
  return o;
}

OperatorSettings load_operator(const std::string& path) {
  if (path.empty()) return {};
  return read_operator(load_toml(path), path);
}

}  // namespace beechhill::config
