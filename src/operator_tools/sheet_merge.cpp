#include "operator_tools/sheet_merge.h"

#include "state/sheet_text.h"

#include <algorithm>
#include <set>

namespace dotterel {

namespace {

/// Takes the rows of one sheet over, one at a time.
class SheetMerger
{
public:
    SheetMerger(const Configuration &stored, const Sheet &sheet, std::string file,
                const SheetOptions &options)
        : stored(stored)
        , sheet(sheet)
        , file(std::move(file))
        , options(options)
        , exportedAt(sheet.exportedAt.value_or(0))
    {}

    tl::expected<SheetMerge, SheetRefusal> merge()
    {
        if (this->exportedAt < this->stored.sheetExportedAt) {
            this->refuseOld(0, "was exported " + formatIsoTime(this->exportedAt)
                                       + ", before the sheet or the removal of "
                                       + formatIsoTime(this->stored.sheetExportedAt)
                                       + "; export it anew");
            return tl::unexpected(this->refusal);
        }
        this->result.merge.merged = this->stored;
        this->findMissing();
        for (const SheetWorkspace &row : this->sheet.workspaces)
            this->takeWorkspace(row);
        for (const SheetRequestClass &row : this->sheet.requestClasses)
            this->takeClass(row);
        for (const SheetIdempotencyMark &row : this->sheet.idempotencyMarks)
            this->takeMark(row);
        this->result.merge.merged.sheetExportedAt = this->exportedAt;
        if (!this->refusal.faults.empty())
            return tl::unexpected(this->refusal);
        return this->result;
    }

private:
    void findMissing()
    {
        std::set<std::string> workspaces;
        for (const SheetWorkspace &row : this->sheet.workspaces)
            workspaces.insert(row.name);
        std::set<std::string> classes;
        for (const SheetRequestClass &row : this->sheet.requestClasses)
            classes.insert(row.name);
        for (const ConfigurationObject &object : objectsOf(this->stored)) {
            const bool workspace = object.kind == ObjectKind::Workspace;
            const bool requestClass = object.kind == ObjectKind::RequestClass;
            if ((workspace && workspaces.count(object.name) == 0)
                || (requestClass && classes.count(object.name) == 0))
                this->handleMissing(object);
        }
    }

    void handleMissing(const ConfigurationObject &object)
    {
        this->result.merge.missing.push_back(object);
        if (this->options.missing == MissingObjects::Keep)
            return;
        Configuration &merged = this->result.merge.merged;
        const WallMilliseconds changedAt =
                object.kind == ObjectKind::Workspace
                        ? merged.workspaces.at(object.name).changedAt
                        : merged.requestClasses.at(object.name).changedAt;
        if (!this->mayChange(0, object, changedAt))
            return;
        if (object.kind == ObjectKind::Workspace)
            merged.workspaces.erase(object.name);
        else
            merged.requestClasses.erase(object.name);
    }

    void takeWorkspace(const SheetWorkspace &row)
    {
        Workspace wanted{row.name, row.share, this->exportedAt};
        std::map<std::string, Workspace> &workspaces = this->result.merge.merged.workspaces;
        const auto known = workspaces.find(row.name);
        if (known == workspaces.end()) {
            workspaces[row.name] = wanted;
            return;
        }
        const bool same = known->second.share == wanted.share;
        if (!same
            && this->mayChange(row.row, {ObjectKind::Workspace, row.name, {}},
                               known->second.changedAt))
            known->second = wanted;
    }

    void takeClass(const SheetRequestClass &row)
    {
        std::map<std::string, RequestClass> &classes = this->result.merge.merged.requestClasses;
        const auto known = classes.find(row.name);
        if (known == classes.end()) {
            classes[row.name] = {row.name, row.deadline, true, this->exportedAt};
            return;
        }
        if (known->second.deadline != row.deadline && this->mayChangeClass(row.row, row.name)) {
            known->second.deadline = row.deadline;
            known->second.changedAt = this->exportedAt;
        }
    }

    void takeMark(const SheetIdempotencyMark &row)
    {
        std::map<std::string, RequestClass> &classes = this->result.merge.merged.requestClasses;
        const auto known = classes.find(row.requestClass);
        if (known == classes.end()) {
            this->refusal.faults.push_back(
                    {this->file, row.row, "",
                     "there is no class \"" + row.requestClass + "\" to mark"});
            return;
        }
        if (known->second.idempotent != row.idempotent
            && this->mayChangeClass(row.row, row.requestClass)) {
            known->second.idempotent = row.idempotent;
            known->second.changedAt = this->exportedAt;
        }
    }

    bool mayChangeClass(std::size_t row, const std::string &name)
    {
        const auto known = this->stored.requestClasses.find(name);
        const WallMilliseconds changedAt =
                known == this->stored.requestClasses.end() ? 0 : known->second.changedAt;
        return this->mayChange(row, {ObjectKind::RequestClass, name, {}}, changedAt);
    }

    /// Returns true if the sheet is at least as new as the last change of \a object; else the
    /// object is kept or the sheet is refused.
    bool mayChange(std::size_t row, const ConfigurationObject &object, WallMilliseconds changedAt)
    {
        if (changedAt <= this->exportedAt)
            return true;
        const std::string message = object.title() + " was changed " + formatIsoTime(changedAt)
                                    + ", after the export of " + formatIsoTime(this->exportedAt);
        if (this->options.keepNewer)
            this->result.kept.push_back(message);
        else
            this->refuseOld(row, message + "; export the sheet anew or use --keep-newer");
        return false;
    }

    void refuseOld(std::size_t row, const std::string &message)
    {
        this->refusal.tooOld = true;
        this->refusal.faults.push_back({this->file, row, "", message});
    }

    const Configuration &stored;
    const Sheet &sheet;
    std::string file;
    SheetOptions options;
    WallMilliseconds exportedAt;
    SheetMerge result;
    SheetRefusal refusal;
};

} // namespace

tl::expected<SheetMerge, SheetRefusal> mergeSheet(const Configuration &stored, const Sheet &sheet,
                                                  const std::string &file,
                                                  const SheetOptions &options)
{
    return SheetMerger(stored, sheet, file, options).merge();
}

} // namespace dotterel
