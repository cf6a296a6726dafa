// Implements run_experiment(): runs cells in a thread pool and writes the result, partial and
// timing files.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "experiments/experiment.h"

namespace beechhill::experiments {
namespace {

// Limit of the collected violation text in bytes. Once its size reaches the limit, no more text is
// appended.
constexpr std::size_t kMaxViolationText = std::size_t{64} * 1024;

std::string timing_line(const Cell& cell, const RunOutput& out) {
  const double events = out.result["events"].asDouble();
  const double decisions = std::max(1.0, out.result["decisions"].asDouble());
  constexpr double kMicrosecondsPerSecond = 1e6;
  return fmt::format(
      R"({{"cell":{},"wall_s":{:.3f},"events_per_s":{:.0f},"us_per_decision":{:.3f}}})", cell.key,
      out.wall_s, events / out.wall_s, kMicrosecondsPerSecond * out.wall_s / decisions);
}

// Executes one call of run_experiment().
class ExperimentRunner {
 public:
  ExperimentRunner(const Experiment& experiment, std::string out_path,
                   const std::function<void(std::size_t, std::size_t)>& progress,
                   const std::function<bool()>& stop)
      : experiment_(experiment),
        out_path_(std::move(out_path)),
        partial_path_(out_path_ + ".partial"),
        progress_(progress),
        stop_(stop),
        cells_(expand_grid(experiment)) {}

  Summary run(unsigned threads) {
    read_finished_cells();
    open_files();
    run_pool(threads);
    partial_.reset();
    if (summary_.already_finished + summary_.run < cells_.size()) {
      // The run was stopped early; finished cells remain in the partial file.
      return summary_;
    }
    write_result();
    return summary_;
  }

 private:
  void read_finished_cells() {
    for (const std::string& path : {out_path_, partial_path_}) {
      bool torn = false;
      for (const Json::Value& row : read_lines(path, torn)) {
        finished_lines_[to_json_line(row["cell"])] = to_json_line(row);
      }
      summary_.torn = summary_.torn || torn;
    }
    for (const Cell& cell : cells_) {
      if (!finished_lines_.contains(cell.key)) {
        pending_cells_.push_back(&cell);
      }
    }
    summary_.already_finished = cells_.size() - pending_cells_.size();
  }

  // Rewrites the partial file with the complete lines only, so that new lines are not appended to
  // an incomplete one.
  void open_files() {
    partial_ = std::make_unique<LineWriter>(partial_path_, "wb");
    for (const Cell& cell : cells_) {
      if (const auto it = finished_lines_.find(cell.key); it != finished_lines_.end()) {
        partial_->write(it->second);
      }
    }
    timing_ = std::make_unique<LineWriter>(out_path_ + ".timing", "ab");
  }

  void run_pool(unsigned threads) {
    std::vector<std::thread> pool;
    for (unsigned i = 0; i < std::max(1u, threads); ++i) {
      pool.emplace_back([this] { run_pending_cells(); });
    }
    for (std::thread& thread : pool) {
      thread.join();
    }
    if (error_) {
      std::rethrow_exception(error_);
    }
  }

  void run_pending_cells() {
    while (!stop_ || !stop_()) {
      const std::size_t i = next_pending_++;
      if (i >= pending_cells_.size()) {
        return;
      }
      try {
        run_cell(*pending_cells_[i]);
      } catch (...) {
        const std::lock_guard lock(mutex_);
        error_ = std::current_exception();
        next_pending_ = pending_cells_.size();
      }
    }
  }

  void run_cell(const Cell& cell) {
    const RunOutput out = run_scenario(cell.scenario, cell.policy, experiment_.series);
    Json::Value row;
    row["cell"] = cell.labels;
    row["result"] = out.result;
    const std::string line = to_json_line(row);
    const std::lock_guard lock(mutex_);
    partial_->write(line);
    timing_->write(timing_line(cell, out));
    finished_lines_[cell.key] = line;
    ++summary_.run;
    record_violations(cell, out);
    if (progress_) {
      progress_(summary_.already_finished + summary_.run, cells_.size());
    }
  }

  void record_violations(const Cell& cell, const RunOutput& out) {
    if (cell.policy != "module") {
      summary_.baseline_violations += out.violations;
      return;
    }
    summary_.module_violations += out.violations;
    if (summary_.violation_text.size() < kMaxViolationText) {
      summary_.violation_text += out.violation_text;
    }
  }

  // Writes all results in the grid's order. A new file is renamed over the old one, so that the
  // result file is never incomplete.
  void write_result() {
    const std::string new_path = out_path_ + ".new";
    {
      LineWriter writer(new_path, "wb");
      for (const Cell& cell : cells_) {
        writer.write(finished_lines_.at(cell.key));
      }
      writer.sync();
    }
    std::filesystem::rename(new_path, out_path_);
    std::filesystem::remove(partial_path_);
  }

  const Experiment& experiment_;
  const std::string out_path_;
  const std::string partial_path_;
  const std::function<void(std::size_t, std::size_t)>& progress_;
  const std::function<bool()>& stop_;
  const std::vector<Cell> cells_;
  std::vector<const Cell*> pending_cells_;
  std::atomic<std::size_t> next_pending_{0};

  // Protects all members below it.
  std::mutex mutex_;
  // Result lines by the key of their cell.
  std::map<std::string, std::string> finished_lines_;
  std::unique_ptr<LineWriter> partial_;
  std::unique_ptr<LineWriter> timing_;
  Summary summary_;
  std::exception_ptr error_;
};

}  // namespace

Summary run_experiment(const Experiment& experiment, const std::string& out_path, unsigned threads,
                       const std::function<void(std::size_t, std::size_t)>& progress,
                       const std::function<bool()>& stop) {
  return ExperimentRunner(experiment, out_path, progress, stop).run(threads);
}

}  // namespace beechhill::experiments
