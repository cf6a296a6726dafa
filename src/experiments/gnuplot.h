/// Draws line plots as SVG by running the program gnuplot.
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

/// Returns the plot as an SVG element. `number` must be unique among the plots of a page, as the
/// ids inside the element contain it. Temporary files are written to `directory`. Throws
/// std::runtime_error if gnuplot is missing or fails.
std::string draw_svg(const LinePlot& plot, const TempDirectory& directory, int number);

}  // namespace beechhill::experiments
