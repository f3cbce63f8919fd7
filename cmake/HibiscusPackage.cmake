# Warnings are errors everywhere but in generated code, and in what is shipped:
# there an installation's compiler may warn of what ours doesn't, and g++ 12 at
# -O3 warns of a copy in the standard library's own string (-Wrestrict).
add_library(hp_warnings INTERFACE)
if(NOT HIBISCUSPICK_SHIPPED)
  target_compile_options(hp_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                                               -Wconversion -Wold-style-cast
                                               -Werror)
  # Asio's hand-over between threads has fences beside its locks; the thread
  # sanitizer doesn't know fences, sees the locks, and g++ warns of the former.
  if(CMAKE_CXX_FLAGS MATCHES "fsanitize=thread")
    target_compile_options(hp_warnings INTERFACE -Wno-tsan)
  endif()
endif()

# hp_package(NAME DEPENDS targets...): a static library hp_NAME from src/*.cc
# with the public headers of include/, and one test program from tests/*.cc.
function(hp_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  if(sources)
    add_library(hp_${name} STATIC ${sources})
    target_include_directories(hp_${name} PUBLIC include)
    target_link_libraries(hp_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads
                          PRIVATE hp_warnings)
  else()
    # Headers only.
    add_library(hp_${name} INTERFACE)
    target_include_directories(hp_${name} INTERFACE include)
    target_link_libraries(hp_${name} INTERFACE ${ARG_DEPENDS} Threads::Threads)
  endif()
  hp_tests(${name} DEPENDS hp_${name})
endfunction()

# hp_tests(NAME DEPENDS targets...): the test program NAME_tests.
function(hp_tests name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  if(NOT tests)
    return()
  endif()
  if(HIBISCUSPICK_SHIPPED)
    # Never built; only there for the packages' settings of it.
    add_library(${name}_tests OBJECT EXCLUDE_FROM_ALL
                ${CMAKE_SOURCE_DIR}/cmake/test_main.cc)
    return()
  endif()
  add_executable(${name}_tests ${tests}
                 ${CMAKE_SOURCE_DIR}/cmake/test_main.cc)
  target_compile_definitions(${name}_tests PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name}_tests PRIVATE tests)
  target_link_libraries(${name}_tests PRIVATE ${ARG_DEPENDS} hp_warnings
                        Boost::unit_test_framework)
  set_target_properties(${name}_tests PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name}_tests)
endfunction()
