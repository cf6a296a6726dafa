// Verifies that an experiment's results do not depend on the number of threads or on interruptions.
#include "experiments/experiment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "support/emulator_scenarios.h"

namespace beechhill::experiments {
namespace {

using test::bytes_of;

class Experiments : public testing::Test {
 protected:
  void SetUp() override {
    std::string path = (std::filesystem::temp_directory_path() / "experiments-XXXXXX").string();
    ASSERT_NE(::mkdtemp(path.data()), nullptr);
    directory_ = path;
    std::ofstream(directory_ + "/s.toml")
        << "length = \"3s\"\n[load]\nutilisation = 0.5\n[[class]]\nname = \"c\"\n[[tier]]\nname = "
           "\"t\"\nnodes = 4\n";
    std::ofstream(directory_ + "/e.toml")
        << "scenario = \"s.toml\"\npolicies = [\"module\", \"random\"]\nseeds = [1, 2, 3]\n"
           "[grid]\n\"load.utilisation\" = [0.5, 0.9]\n\"tier.0.nodes\" = [3, 5]\n";
    experiment_ = load_experiment(directory_ + "/e.toml");
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }
  std::string run(const std::string& name, unsigned threads) {
    run_experiment(experiment_, directory_ + "/" + name, threads);
    return bytes_of(directory_ + "/" + name);
  }
  std::string directory_;
  Experiment experiment_;
};

// Threads finish cells in varying order. The result file must be the same for any number of
// threads.
TEST_F(Experiments, GiveEqualBytesOnAnyNumberOfThreads) {
  const std::string one = run("one", 1);
  EXPECT_EQ(std::count(one.begin(), one.end(), '\n'), 24);
  EXPECT_EQ(one, run("four", 4));
}

// An interrupted run leaves a partial file whose last line may be incomplete. The next run must
// repeat that cell only, keep the others and give the same result as an uninterrupted run.
TEST_F(Experiments, ContinueAfterAnInterruptionAndDetectATornLine) {
  const std::string complete = run("complete", 4);
  int started = 0;
  run_experiment(experiment_, directory_ + "/cut", 1, {}, [&started] { return ++started > 10; });
  EXPECT_FALSE(std::filesystem::exists(directory_ + "/cut"));
  const std::string partial = bytes_of(directory_ + "/cut.partial");
  EXPECT_EQ(std::count(partial.begin(), partial.end(), '\n'), 10);
  std::ofstream(directory_ + "/cut.partial", std::ios::binary)
      << partial.substr(0, partial.size() - 30);
  const Summary summary = run_experiment(experiment_, directory_ + "/cut", 4);
  EXPECT_TRUE(summary.torn);
  EXPECT_EQ(summary.already_finished, 9u);
  EXPECT_EQ(summary.run, 15u);
  EXPECT_EQ(bytes_of(directory_ + "/cut"), complete);
  // After a change of the scenario, all cells must run again.
  std::ofstream(directory_ + "/s.toml", std::ios::app) << "cores = 2\n";
  experiment_ = load_experiment(directory_ + "/e.toml");
  EXPECT_EQ(run_experiment(experiment_, directory_ + "/cut", 4).run, 24u);
}

// The result file is from an earlier version of the scenario. A run must not count its cells as
// finished, and a run that stops early must leave the file unchanged.
TEST_F(Experiments, StopEarlyBesideTheResultOfAChangedScenario) {
  run("out", 4);
  std::ofstream(directory_ + "/s.toml", std::ios::app) << "cores = 2\n";
  experiment_ = load_experiment(directory_ + "/e.toml");
  const std::string former = bytes_of(directory_ + "/out");
  int started = 0;
  const Summary stopped = run_experiment(experiment_, directory_ + "/out", 1, {},
                                         [&started] { return ++started > 10; });
  EXPECT_EQ(stopped.already_finished, 0u);
  EXPECT_EQ(stopped.run, 10u);
  EXPECT_EQ(bytes_of(directory_ + "/out"), former);
  const Summary finished = run_experiment(experiment_, directory_ + "/out", 4);
  EXPECT_EQ(finished.already_finished, 10u);
  EXPECT_EQ(finished.run, 14u);
  EXPECT_NE(bytes_of(directory_ + "/out"), former);
}

// A grid whose path names no key of the scenario must be rejected, as its values would have no
// effect.
TEST_F(Experiments, RejectAGridOverUnknownKeys) {
  for (const char* path : {"tier.1.nodes", "tier.x.nodes", "length.x", "a..b", "tier.0.nodse"}) {
    std::ofstream(directory_ + "/e.toml")
        << "scenario = \"s.toml\"\n[grid]\n\"" << path << "\" = [1]\n";
    EXPECT_ANY_THROW(load_experiment(directory_ + "/e.toml")) << path;
  }
}

}  // namespace
}  // namespace beechhill::experiments
