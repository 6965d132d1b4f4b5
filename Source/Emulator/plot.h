// Rendering of line charts as SVG.
#pragma once

#include <string>
#include <vector>

namespace primrosecove {

/// One line of a chart. The index of a value, from 0, is its x coordinate.
struct PlotLine {
  std::string name;
  std::vector<double> values;
};

/// Returns an SVG document with a legend; the vertical axis starts at 0, and
/// texts are escaped. Thread safe.
std::string PlotLines(const std::string& title, const std::string& x_label,
                      const std::string& y_label,
                      const std::vector<PlotLine>& lines);

}  // namespace primrosecove
