# One static library per folder of src/, one test program per folder of tests/.

# copperlead_module(NAME [LINK ...]): library copperlead_NAME from src/NAME and its parts.
function(copperlead_module name)
  cmake_parse_arguments(ARGUMENT "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cc
       ${CMAKE_SOURCE_DIR}/src/${name}/*/*.cc)
  if(sources)
    add_library(copperlead_${name} STATIC ${sources})
    target_include_directories(copperlead_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(copperlead_${name} PUBLIC ${ARGUMENT_LINK} Threads::Threads)
  else()
    add_library(copperlead_${name} INTERFACE)
    target_include_directories(copperlead_${name} INTERFACE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(copperlead_${name} INTERFACE ${ARGUMENT_LINK} Threads::Threads)
  endif()
endfunction()

# copperlead_tests(NAME [LINK ...]): program NAME_test from tests/NAME and its parts, one CTest entry.
function(copperlead_tests name)
  cmake_parse_arguments(ARGUMENT "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cc
       ${CMAKE_SOURCE_DIR}/tests/${name}/*/*.cc)
  if(sources)
    add_executable(${name}_test ${sources})
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
    target_link_libraries(${name}_test PRIVATE ${ARGUMENT_LINK} GTest::gtest GTest::gmock
                                               GTest::gtest_main)
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 600 ENVIRONMENT
                         "COPPERLEAD_BINARIES=${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
  endif()
endfunction()
