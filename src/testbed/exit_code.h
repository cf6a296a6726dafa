// The exit codes of beechhill-testbed's commands.
#pragma once

namespace beechhill::testbed {

enum ExitCode : int {
  kSuccess = 0,
  kError = 1,  // of the machine or a file
  kInvalidInput = 2,
  kRuleViolated = 3,
  kInterrupted = 4,
};

}  // namespace beechhill::testbed
