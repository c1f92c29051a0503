// Reading and validation of the settings files of foxtaildyke-ctl; see ctl_p.h.
#include "ctl_p.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace foxtaildyke
{

namespace
{

constexpr std::string_view kBaseName = "base";

result<std::string> readText(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return error{error_code::not_found, path.string()};
    return text.str();
}

std::vector<std::filesystem::path> expandDirectories(const std::vector<std::string> &paths)
{
    std::vector<std::filesystem::path> files;
    for (const auto &path : paths) {
        std::error_code failure;
        if (!std::filesystem::is_directory(path, failure)) {
            files.emplace_back(path);
            continue;
        }
        for (const auto &entry : std::filesystem::directory_iterator(path, failure)) {
            if (entry.path().extension() == ".ini")
                files.push_back(entry.path());
        }
    }
    return files;
}

error withFileName(const std::string &file, const error &failure)
{
    return {failure.code, file + ": " + failure.field};
}

} // namespace

result<settings_files> readSettingsFiles(const std::vector<std::string> &paths)
{
    settings_files files;
    bool hasBase = false;
    for (const auto &path : expandDirectories(paths)) {
        auto text = readText(path);
        if (text.has_error())
            return text.error();
        const auto name = path.stem().string();
        if (name == kBaseName && hasBase)
            return error{error_code::value_out_of_range, path.string()};
        if (name == kBaseName)
            files.base = std::move(text.value());
        else if (!files.overlays.emplace(name, std::move(text.value())).second)
            return error{error_code::value_out_of_range, path.string()};
        hasBase = hasBase || name == kBaseName;
    }
    if (!hasBase)
        return error{error_code::not_found, "base.ini"};
    return files;
}

result<void> checkSettingsFiles(const settings_files &files)
{
    config_layers layers;
    auto base = parseIni(files.base);
    if (base.has_error())
        return withFileName("base.ini", base.error());
    layers.base = std::move(base.value());
    for (const auto &[failureDomain, text] : files.overlays) {
        auto overlay = parseIni(text);
        if (overlay.has_error())
            return withFileName(failureDomain + ".ini", overlay.error());
        layers.overlays[failureDomain] = std::move(overlay.value());
    }
    return checkLayers(layers);
}

} // namespace foxtaildyke
