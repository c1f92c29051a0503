// SVG plot of a load run: one bar chart per measure, one bar per arm.
#include "load_report.h"

#include <functional>
#include <iomanip>
#include <sstream>

namespace foxtaildyke::load
{

namespace
{

constexpr int kPanelWidth = 300;
constexpr int kBarHeight = 18;
constexpr int kLabelWidth = 150;
constexpr int kTopMargin = 60;

struct panel {
    std::string title;
    std::function<double(const arm_report &)> value;
};

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        if (c == '<')
            result += "&lt;";
        else if (c == '&')
            result += "&amp;";
        else
            result += c;
    }
    return result;
}

void drawText(std::ostream &out, int x, int y, const std::string &text)
{
    out << "<text x='" << x << "' y='" << y << "'>" << escaped(text) << "</text>\n";
}

void drawPanel(std::ostream &out, const panel &shown, int left, const std::vector<arm_report> &arms)
{
    constexpr int kValueWidth = 70;
    double maxValue = 0;
    for (const auto &entry : arms)
        maxValue = std::max(maxValue, shown.value(entry));
    drawText(out, left, kTopMargin - 12, shown.title);
    int y = kTopMargin;
    for (const auto &entry : arms) {
        const auto value = shown.value(entry);
        const auto width = static_cast<int>(share(value, maxValue) * (kPanelWidth - kValueWidth));
        std::ostringstream label;
        label << std::fixed << std::setprecision(1) << value;
        out << "<rect x='" << left << "' y='" << y << "' width='" << width << "' height='" << kBarHeight - 4
            << "' fill='#4477aa'/>\n";
        drawText(out, left + width + 4, y + kBarHeight - 7, label.str());
        y += kBarHeight;
    }
}

} // namespace

std::string toSvg(const std::string &title, const std::vector<arm_report> &arms)
{
    const std::array panels{
        panel{"cost per answer at the target (micro-units)",
              [](const arm_report &entry) {
                  const auto total = entry.total();
                  return share(static_cast<double>(total.costMicroUnits), static_cast<double>(total.met));
              }},
        panel{"answers at the target (%)",
              [](const arm_report &entry) {
                  const auto total = entry.total();
                  return 100 * share(static_cast<double>(total.met), static_cast<double>(total.outcomes[0]));
              }},
        panel{"95th percentile of latency (ms)",
              [](const arm_report &entry) {
                  return quantile(entry.total().latencyMs, 0.95);
              }},
    };
    const auto width = kLabelWidth + static_cast<int>(panels.size()) * (kPanelWidth + 20);
    const auto height = kTopMargin + static_cast<int>(arms.size()) * kBarHeight + 20;
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
        << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' fill='white'/>\n";
    drawText(out, 10, 22, title);
    int y = kTopMargin + kBarHeight - 7;
    for (const auto &entry : arms) {
        drawText(out, 10, y, entry.arm);
        y += kBarHeight;
    }
    int left = kLabelWidth;
    for (const auto &shown : panels) {
        drawPanel(out, shown, left, arms);
        left += kPanelWidth + 20;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace foxtaildyke::load
