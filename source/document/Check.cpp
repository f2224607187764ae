#include "document/Check.h"

#include "document/SchemaCheck.h"

namespace lagoontiller::document {

ParseResult parse(std::string_view text)
{
    const auto ini = readIni(text);
    Faults faults = ini.faults;
    const auto records = checkSchema(documentSchema(), ini, faults);
    checkAcrossSections(records, faults);
    sortByPosition(faults);
    if (!faults.empty())
        return { nullptr, std::move(faults) };
    return { std::make_shared<const Document>(records), {} };
}

Faults check(std::string_view text)
{
    return parse(text).faults;
}

} // namespace lagoontiller::document
