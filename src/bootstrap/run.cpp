#include "bootstrap/run.h"

#include <utility>

#include "bootstrap/server.h"
#include "bootstrap/signals.h"
#include "config/config.h"
#include "config/operator_file.h"
#include "log/log.h"

namespace beechhill::bootstrap {

void run(const std::string& operator_file) {
  // Blocks the signals first, so that a signal that arrives during the start is handled later
  // instead of ending the process.
  net::FileDescriptor signals = block_signals();
  const config::Config config = config::load_config();
  const config::OperatorSettings settings = config::load_operator_settings(operator_file);
  log::start(settings.log);
  Server server(config, settings, operator_file, std::move(signals));
  server.run();
}

}  // namespace beechhill::bootstrap
