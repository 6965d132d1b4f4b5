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
constexpr double kRight = 190;  // holds the legend
constexpr double kTop = 40;
constexpr double kBottom = 50;
constexpr int kTicks = 5;
constexpr double kLegendStep = 18;
constexpr double kTextDrop = 4;
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
      points_ = std::max(points_, it.values.size());
      for (double value : it.values) highest_ = std::max(highest_, value);
    }
    out_ << std::fixed << std::setprecision(1);
  }

  double X(double at) const {
    double steps = points_ > 1 ? static_cast<double>(points_ - 1) : 1;
    return kLeft + at / steps * (kWidth - kLeft - kRight);
  }
  double Y(double value) const {
    return kHeight - kBottom - value / highest_ * (kHeight - kTop - kBottom);
  }

  void Text(double x, double y, const char* anchor, const std::string& text) {
    out_ << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
         << "\">" << Escape(text) << "</text>\n";
  }

  void Axes() {
    for (int i = 0; i <= kTicks; ++i) {
      double value = highest_ * i / kTicks;
      std::ostringstream label;
      label << std::setprecision(3) << value;
      out_ << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight
           << "\" y1=\"" << Y(value) << "\" y2=\"" << Y(value)
           << "\" stroke=\"#dddddd\"/>\n";
      Text(kLeft - kTextDrop, Y(value) + kTextDrop, "end", label.str());
      double at =
          static_cast<double>(points_ > 1 ? points_ - 1 : 1) * i / kTicks;
      std::ostringstream tick;
      tick << std::setprecision(3) << at;
      Text(X(at), kHeight - kBottom + kLegendStep, "middle", tick.str());
    }
  }

  void Line(const PlotLine& line, size_t number) {
    const char* colour = kColours[number % kColours.size()];
    out_ << "<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"" << colour
         << "\" points=\"";
    for (size_t i = 0; i < line.values.size(); ++i) {
      out_ << X(static_cast<double>(i)) << "," << Y(line.values[i]) << " ";
    }
    double y = kTop + kLegendStep * static_cast<double>(number);
    double x = kWidth - kRight + kLegendStep;
    out_ << "\"/>\n<rect x=\"" << x << "\" y=\"" << y
         << "\" width=\"12\" height=\"4\" fill=\"" << colour << "\"/>\n";
    Text(x + kLegendStep, y + 2 * kTextDrop, "start", line.name);
  }

  std::string Take() { return out_.str(); }

 private:
  size_t points_ = 0;
  double highest_ = 1e-9;
  std::ostringstream out_;
};

}  // namespace

std::string PlotLines(const std::string& title, const std::string& x_label,
                      const std::string& y_label,
                      const std::vector<PlotLine>& lines) {
  Chart chart(lines);
  chart.Text(kLeft, kTop / 2, "start", title + " (" + y_label + ")");
  chart.Text((kLeft + kWidth - kRight) / 2, kHeight - kTextDrop * 2, "middle",
             x_label);
  chart.Axes();
  for (size_t i = 0; i < lines.size(); ++i) chart.Line(lines[i], i);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << chart.Take() << "</svg>\n";
  return out.str();
}

}  // namespace primrosecove
