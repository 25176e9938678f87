#include "sidecar/settings_file.h"

#include <sys/stat.h>

namespace copperlead::sidecar
{
namespace
{

/** @returns a number that differs when the file was written anew; 0 without a file */
std::int64_t stampOf (const std::string& path)
{
    struct stat facts
    {
    };

    if (path.empty() || stat (path.c_str(), &facts) != 0)
        return 0;

    return facts.st_mtim.tv_sec * 1'000'000'000 + facts.st_mtim.tv_nsec + facts.st_size;
}

} // namespace

SettingsFile::SettingsFile (std::string pathToWatch)
    : filePath (std::move (pathToWatch))
    , readStamp (stampOf (filePath))
{
}

bool SettingsFile::changed() const
{
    const auto stamp = stampOf (filePath);
    return stamp != 0 && stamp != readStamp;
}

void SettingsFile::markRead() { readStamp = stampOf (filePath); }

} // namespace copperlead::sidecar
