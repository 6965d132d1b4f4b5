# Writes OUTPUT, a source file with the identity of the sources in SOURCE_DIR. Leaves the file as it
# is if its content would not change, so that only a change causes a new compilation.
#   cmake -DSOURCE_DIR=... -DOUTPUT=... -P write_build_info.cmake

# Identifies the sources also where they are not in a git repository, or changed since the commit.
set(folders Source platform cmake CMakeLists.txt)
file(GLOB_RECURSE files RELATIVE "${SOURCE_DIR}" "${SOURCE_DIR}/Source/*" "${SOURCE_DIR}/platform/*"
     "${SOURCE_DIR}/cmake/*" "${SOURCE_DIR}/CMakeLists.txt")
list(FILTER files INCLUDE REGEX "\\.(cc|h|cmake)$|CMakeLists\\.txt$")
list(SORT files)
set(digests "")
foreach(name IN LISTS files)
  file(SHA256 "${SOURCE_DIR}/${name}" digest)
  string(APPEND digests "${name} ${digest}\n")
endforeach()
string(SHA256 sources "${digests}")
string(SUBSTRING "${sources}" 0 12 sources)

set(commit unknown)
find_program(GIT git)
if(GIT AND EXISTS "${SOURCE_DIR}/.git")
  execute_process(COMMAND "${GIT}" rev-parse --short=12 HEAD WORKING_DIRECTORY "${SOURCE_DIR}"
                  OUTPUT_VARIABLE head RESULT_VARIABLE failed ERROR_QUIET
                  OUTPUT_STRIP_TRAILING_WHITESPACE)
  if(NOT failed)
    set(commit "${head}")
    # Covers files that are changed and new ones that are not part of the commit.
    execute_process(COMMAND "${GIT}" status --porcelain -- ${folders}
                    WORKING_DIRECTORY "${SOURCE_DIR}" OUTPUT_VARIABLE changes
                    RESULT_VARIABLE failed ERROR_QUIET)
    if(failed OR NOT changes STREQUAL "")
      string(APPEND commit "-changed")
    endif()
  endif()
endif()

file(CONFIGURE OUTPUT "${OUTPUT}" CONTENT [[
#include "Core/Common/build_info.h"

namespace primrosecove {

const char* const kBuildCommit = "@commit@";
const char* const kBuildSources = "@sources@";

}  // namespace primrosecove
]] @ONLY)
