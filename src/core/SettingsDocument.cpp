#include "core/SettingsDocument.h"

#include <yaml-cpp/yaml.h>

namespace banyanlock
{
namespace
{

Error invalid(const std::string &detail)
{
    return {ResultCode::InvalidSettings, detail};
}

Result<SettingsDocument> readMapping(const std::string &path, const YAML::Node &root)
{
    SettingsDocument document{path, {}};
    if (!root.IsMap()) {
        return invalid(document.describe(1, "(file)", "must be a mapping of keys to values"));
    }
    for (const auto &pair : root) {
        SettingsEntry entry;
        entry.key = pair.first.as<std::string>();
        entry.line = pair.first.Mark().line + 1;
        const YAML::Node &value = pair.second;
        entry.isList = value.IsSequence();
        if (value.IsScalar()) {
            entry.values.push_back(value.Scalar());
        } else if (value.IsSequence()) {
            for (const YAML::Node &item : value) {
                if (!item.IsScalar()) {
                    return invalid(document.describe(entry.line, entry.key, "must be a list of plain values"));
                }
                entry.values.push_back(item.Scalar());
            }
        } else {
            return invalid(document.describe(entry.line, entry.key, "must be a value or a list of values"));
        }
        document.entries.push_back(std::move(entry));
    }
    return document;
}

} // namespace

Result<SettingsDocument> SettingsDocument::load(const std::string &path)
{
    try {
        return readMapping(path, YAML::LoadFile(path));
    } catch (const YAML::BadFile &) {
        return invalid(path + ": can't be read");
    } catch (const YAML::Exception &error) {
        const SettingsDocument document{path, {}};
        return invalid(document.describe(error.mark.line + 1, "(yaml)", error.msg));
    }
}

std::string SettingsDocument::describe(int line, const std::string &key, const std::string &reason) const
{
    return path + ":" + std::to_string(line) + ": " + key + ": " + reason;
}

} // namespace banyanlock
