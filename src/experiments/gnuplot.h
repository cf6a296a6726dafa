/// Line plots as SVG. gnuplot is called as a program.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "experiments/temp_folder.h"

namespace beechhill::experiments {

struct PlotLine {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

struct LinePlot {
  std::string title;
  std::string x_label;
  std::string y_label;
  std::vector<PlotLine> lines;
  bool log_x = false;
  bool log_y = false;
};

/// The SVG element of a plot. `number` sets its ids apart from those of other plots in one page.
/// Throws std::runtime_error where gnuplot is missing or fails.
std::string draw_svg(const LinePlot& plot, const TempDirectory& directory, int number);

}  // namespace beechhill::experiments
