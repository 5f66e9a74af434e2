# Helpers that keep the CMakeLists.txt of each part to a few lines.

# chivefront_library(NAME DEPS lib... ): a static library of all *.cc files in
# this folder except tests (*_test.cc), programs (*_main.cc) and fuzzers
# (*_fuzz.cc).
function(chivefront_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  list(FILTER sources EXCLUDE REGEX "_(test|main|fuzz)\\.cc$")
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC ${ARG_DEPS})
endfunction()

# chivefront_tests(LIB [LABELS label...]): one test program per *_test.cc.
function(chivefront_tests lib)
  file(GLOB tests CONFIGURE_DEPENDS *_test.cc)
  foreach(source ${tests})
    get_filename_component(name ${source} NAME_WE)
    chivefront_test(${name} SOURCE ${source} DEPS ${lib})
  endforeach()
endfunction()

# chivefront_test(NAME SOURCE file DEPS lib...): one test program. A line
# "// Promises: a, b" of its source names the promises that it checks; each
# becomes the ctest label promise-<name>.
function(chivefront_test name)
  if(NOT CHIVEFRONT_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "SOURCE" "DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCE})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  file(STRINGS ${ARG_SOURCE} lines REGEX "^// Promises: ")
  set(labels "")
  foreach(line ${lines})
    string(REGEX REPLACE "^// Promises: " "" line "${line}")
    string(REGEX MATCHALL "[a-z-]+" names "${line}")
    foreach(promise ${names})
      list(APPEND labels "promise-${promise}")
    endforeach()
  endforeach()
  if(labels)
    set_tests_properties(${name} PROPERTIES LABELS "${labels}")
  endif()
endfunction()

# chivefront_program(NAME SOURCE file DEPS lib...): an installed binary.
function(chivefront_program name)
  cmake_parse_arguments(ARG "" "SOURCE" "DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCE})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
  install(TARGETS ${name} RUNTIME DESTINATION bin)
endfunction()
