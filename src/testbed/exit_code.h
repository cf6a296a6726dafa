// The exit codes of beechhill-testbed's commands.
#pragma once

namespace beechhill::testbed {

enum ExitCode : int {
  kSuccess = 0,
  kError = 1,  // a system call or a file operation failed
  kInvalidInput = 2,
  kRuleViolated = 3,
  kInterrupted = 4,
};

}  // namespace beechhill::testbed
