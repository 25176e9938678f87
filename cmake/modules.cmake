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

# copperlead_tests(NAME [SHARDS N] [LINK ...]): program NAME_test from tests/NAME and its parts, one
# CTest entry, or N entries that run the program's tests side by side.
function(copperlead_tests name)
  cmake_parse_arguments(ARGUMENT "" "SHARDS" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cc
       ${CMAKE_SOURCE_DIR}/tests/${name}/*/*.cc)
  if(sources)
    add_executable(${name}_test ${sources})
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
    target_link_libraries(${name}_test PRIVATE ${ARGUMENT_LINK} GTest::gtest GTest::gmock
                                               GTest::gtest_main)
    set(environment "COPPERLEAD_BINARIES=${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
    if(ARGUMENT_SHARDS)
      math(EXPR last_shard "${ARGUMENT_SHARDS} - 1")
      foreach(shard RANGE ${last_shard})
        add_test(NAME ${name}_${shard} COMMAND ${name}_test)
        set_tests_properties(
          ${name}_${shard} PROPERTIES TIMEOUT 600 ENVIRONMENT
          "${environment};GTEST_TOTAL_SHARDS=${ARGUMENT_SHARDS};GTEST_SHARD_INDEX=${shard}")
      endforeach()
    else()
      add_test(NAME ${name} COMMAND ${name}_test)
      set_tests_properties(${name} PROPERTIES TIMEOUT 600 ENVIRONMENT "${environment}")
    endif()
  endif()
endfunction()
