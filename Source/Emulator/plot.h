// Line charts as SVG text.
#pragma once

#include <string>
#include <vector>

namespace primrosecove {

/// One line of a chart; the n-th value stands at n on the horizontal axis.
struct PlotLine {
  std::string name;
  std::vector<double> values;
};

/// A chart with a legend; the vertical axis begins at 0. Thread safe.
std::string PlotLines(const std::string& title, const std::string& x_label,
                      const std::string& y_label,
                      const std::vector<PlotLine>& lines);

}  // namespace primrosecove
