#include "document/Acceptance.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::document {

Acceptance::Acceptance(AcceptanceRequest request)
    : request(std::move(request))
    , nextStep(ReadRow { std::string(currentRowKey) })
{
    auto parsed = parse(this->request.text);
    this->document = std::move(parsed.document);
    if (!this->document) {
        const auto count = std::to_string(parsed.faults.size());
        this->finish(Refused { core::Error(core::ResultCode::DocumentFault, "the document has " + count + " faults"),
            std::move(parsed.faults) });
    }
}

bool Acceptance::isFinished() const noexcept
{
    return this->state == State::Finished;
}

void Acceptance::onRow(const std::optional<tables::Row>& row)
{
    switch (this->state) {
    case State::ReadingCurrentRow:
        return this->onCurrentRow(row);
    case State::ReadingBaseVersion:
        return this->onBaseVersion(row);
    case State::ReadingCurrentVersion:
        return this->onCurrentVersion(row);
    case State::ReadingBack:
        return this->onReadBack(row);
    case State::Writing:
    case State::Finished:
        return;
    }
}

void Acceptance::onReadFailed()
{
    // The step is unchanged, so the driver retries the read.
    if (!this->isFinished())
        (void)this->recordFailure();
}

void Acceptance::onReply(const tables::TransactionReply& reply)
{
    if (this->state != State::Writing)
        return;
    if (reply.committed)
        return this->accept();
    // A condition also fails if an earlier attempt committed and its reply was lost. The row of the new version tells
    // the two cases apart.
    this->replyWasLost = false;
    this->readRow(State::ReadingBack, versionRowKey(this->newVersion()));
}

void Acceptance::onReplyLost()
{
    if (this->state != State::Writing || !this->recordFailure())
        return;
    this->replyWasLost = true;
    this->readRow(State::ReadingBack, versionRowKey(this->newVersion()));
}

void Acceptance::onCurrentRow(const std::optional<tables::Row>& row)
{
    this->currentRowVersion = row ? row->version : 0;
    this->currentVersion = 0;
    if (row) {
        const auto current = decodeCurrentRow(row->value);
        if (!current)
            return this->refuse(current.error().code, current.error().message);
        this->currentVersion = current->version;
    }
    if (this->request.base > this->currentVersion) {
        return this->refuse(core::ResultCode::InvalidField,
            "base version " + std::to_string(this->request.base) + " does not exist; the current version is "
                + std::to_string(this->currentVersion));
    }
    if (this->request.base == 0)
        return this->onBaseVersion(std::nullopt);
    this->readRow(State::ReadingBaseVersion, versionRowKey(this->request.base));
}

void Acceptance::onBaseVersion(const std::optional<tables::Row>& row)
{
    this->baseValues.clear();
    if (row) {
        const auto base = decodeVersionRow(row->value);
        if (!base)
            return this->refuse(base.error().code, base.error().message);
        this->baseValues = canonicalValues(base->text);
    }
    this->changes = difference(this->baseValues, this->document->values());
    if (this->currentVersion == this->request.base)
        return this->write();
    this->readRow(State::ReadingCurrentVersion, versionRowKey(this->currentVersion));
}

void Acceptance::onCurrentVersion(const std::optional<tables::Row>& row)
{
    const auto current = row ? decodeVersionRow(row->value)
                             : core::failure(core::ResultCode::Internal, "the row of the current version is missing");
    if (!current)
        return this->refuse(current.error().code, current.error().message);
    const auto values = canonicalValues(current->text);
    this->finish(VersionConflict { .currentVersion = this->currentVersion,
        .currentText = current->text,
        .currentAuthor = current->author,
        .changesSinceBase = difference(this->baseValues, values),
        .merge = merge(this->baseValues, this->document->values(), values) });
}

void Acceptance::onReadBack(const std::optional<tables::Row>& row)
{
    if (row) {
        const auto written = decodeVersionRow(row->value);
        if (!written)
            return this->refuse(written.error().code, written.error().message, core::RunState::MayHaveRun);
        if (written->acceptanceId == this->request.acceptanceId)
            return this->accept();
        return this->readRow(State::ReadingCurrentRow, std::string(currentRowKey));
    }
    if (this->replyWasLost)
        return this->write();
    // The row `document/current` changed but the new version does not exist, for example because an operator restored
    // a row manually.
    if (this->recordFailure())
        this->readRow(State::ReadingCurrentRow, std::string(currentRowKey));
}

void Acceptance::write()
{
    const VersionRow version {
        .version = this->newVersion(),
        .base = this->request.base,
        .text = this->request.text,
        .author = this->request.author,
        .unixMs = this->request.unixMs,
        .acceptanceId = this->request.acceptanceId,
        .differenceJson = toJson(this->changes).dump(),
    };
    const auto key = versionRowKey(version.version);
    tables::Transaction transaction;
    transaction.token = this->request.acceptanceId;
    transaction.conditions = { { std::string(currentRowKey), this->currentRowVersion }, { key, 0 } };
    transaction.puts = {
        { std::string(currentRowKey), encode(CurrentRow { version.version, version.acceptanceId }) },
        { key, encode(version) },
    };
    this->mayHaveWritten = true;
    this->state = State::Writing;
    this->nextStep = WriteRows { std::move(transaction) };
}

void Acceptance::accept()
{
    this->finish(Accepted { this->newVersion(), this->document, this->changes });
}

bool Acceptance::recordFailure()
{
    ++this->failureCount;
    if (this->failureCount < maxStoreFailures)
        return true;
    if (this->mayHaveWritten) {
        this->refuse(core::ResultCode::DocumentOutcomeUnknown,
            "could not determine whether version " + std::to_string(this->newVersion()) + " was accepted",
            core::RunState::MayHaveRun);
    } else {
        this->refuse(core::ResultCode::StoreUnavailable, "the table service is unavailable");
    }
    return false;
}

void Acceptance::readRow(State newState, std::string key)
{
    this->state = newState;
    this->nextStep = ReadRow { std::move(key) };
}

void Acceptance::finish(Step result)
{
    this->state = State::Finished;
    this->nextStep = std::move(result);
}

void Acceptance::refuse(core::ResultCode code, std::string message, core::RunState ran)
{
    this->finish(Refused { core::Error(code, std::move(message), ran), {} });
}

} // namespace lagoontiller::document
