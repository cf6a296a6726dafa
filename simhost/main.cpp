// beechhill_simhost: reads batches of events from standard input, one a line, and writes one reply
// a line to standard output. Exits with status 1 at the first invalid batch or failed write.
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  beechhill::wire::Host host;
  std::string line;
  while (std::getline(std::cin, line)) {
    try {
      const std::string reply = host.reply_to(line);
      std::cout << reply << '\n' << std::flush;
    } catch (const beechhill::wire::WireError& error) {
      std::cerr << error.what() << std::endl;
      return 1;
    }
    if (!std::cout) {
      return 1;
    }
  }
  return 0;
}
