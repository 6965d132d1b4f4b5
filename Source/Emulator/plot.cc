#include "Emulator/plot.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace primrosecove {
namespace {

constexpr double kWidth = 760;
constexpr double kHeight = 380;
constexpr double kLeft = 60;
constexpr double kRight = 190;  // room for the legend
constexpr double kTop = 40;
constexpr double kBottom = 50;
constexpr int kTickCount = 5;
constexpr double kLegendStep = 18;
constexpr double kTextOffset = 4;
constexpr std::array<const char*, 6> kColours = {
    "#1b6ca8", "#d1495b", "#2e933c", "#8e5ea2", "#e08e0b", "#555555"};

std::string Escape(const std::string& text) {
  std::string out;
  for (char it : text) {
    if (it == '&') {
      out += "&amp;";
    } else if (it == '<') {
      out += "&lt;";
    } else if (it == '>') {
      out += "&gt;";
    } else {
      out += it;
    }
  }
  return out;
}

class Chart {
 public:
  explicit Chart(const std::vector<PlotLine>& lines) {
    for (const PlotLine& it : lines) {
      point_count_ = std::max(point_count_, it.values.size());
      for (double value : it.values) max_value_ = std::max(max_value_, value);
    }
    out_ << std::fixed << std::setprecision(1);
  }

  double X(double at) const {
    double steps = point_count_ > 1 ? static_cast<double>(point_count_ - 1) : 1;
    return kLeft + at / steps * (kWidth - kLeft - kRight);
  }
  double Y(double value) const {
    return kHeight - kBottom - value / max_value_ * (kHeight - kTop - kBottom);
  }

  void DrawText(double x, double y, const char* anchor,
                const std::string& text) {
    out_ << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
         << "\">" << Escape(text) << "</text>\n";
  }

  void DrawAxes() {
    for (int i = 0; i <= kTickCount; ++i) {
      double value = max_value_ * i / kTickCount;
      std::ostringstream label;
      label << std::setprecision(3) << value;
      out_ << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight
           << "\" y1=\"" << Y(value) << "\" y2=\"" << Y(value)
           << "\" stroke=\"#dddddd\"/>\n";
      DrawText(kLeft - kTextOffset, Y(value) + kTextOffset, "end", label.str());
      double at = static_cast<double>(point_count_ > 1 ? point_count_ - 1 : 1) *
                  i / kTickCount;
      std::ostringstream tick;
      tick << std::setprecision(3) << at;
      DrawText(X(at), kHeight - kBottom + kLegendStep, "middle", tick.str());
    }
  }

  void DrawLine(const PlotLine& line, size_t index) {
    const char* colour = kColours[index % kColours.size()];
    out_ << "<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"" << colour
         << "\" points=\"";
    for (size_t i = 0; i < line.values.size(); ++i) {
      out_ << X(static_cast<double>(i)) << "," << Y(line.values[i]) << " ";
    }
    double y = kTop + kLegendStep * static_cast<double>(index);
    double x = kWidth - kRight + kLegendStep;
    out_ << "\"/>\n<rect x=\"" << x << "\" y=\"" << y
         << "\" width=\"12\" height=\"4\" fill=\"" << colour << "\"/>\n";
    DrawText(x + kLegendStep, y + 2 * kTextOffset, "start", line.name);
  }

  std::string ToString() { return out_.str(); }

 private:
  size_t point_count_ = 0;
  double max_value_ = 1e-9;
  std::ostringstream out_;
};

}  // namespace

std::string PlotLines(const std::string& title, const std::string& x_label,
                      const std::string& y_label,
                      const std::vector<PlotLine>& lines) {
  Chart chart(lines);
  chart.DrawText(kLeft, kTop / 2, "start", title + " (" + y_label + ")");
  chart.DrawText((kLeft + kWidth - kRight) / 2, kHeight - kTextOffset * 2,
                 "middle", x_label);
  chart.DrawAxes();
  for (size_t i = 0; i < lines.size(); ++i) chart.DrawLine(lines[i], i);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << chart.ToString() << "</svg>\n";
  return out.str();
}

}  // namespace primrosecove
