# Creates an include root that holds only the folder of one library, so that a
# file can include a header of another library only if its target links to it.
function(boragestand_include_root name out)
    set(root ${CMAKE_BINARY_DIR}/include/${name})
    file(MAKE_DIRECTORY ${root})
    file(CREATE_LINK ${CMAKE_SOURCE_DIR}/src/${name} ${root}/${name} SYMBOLIC)
    set(${out} ${root} PARENT_SCOPE)
endfunction()

# boragestand_library(NAME [libraries...]) builds src/NAME as a static library.
function(boragestand_library name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
    boragestand_include_root(${name} root)
    add_library(boragestand_${name} STATIC ${sources})
    target_include_directories(boragestand_${name} PUBLIC ${root})
    target_link_libraries(boragestand_${name}
        PUBLIC ${ARGN} PRIVATE boragestand_options)
endfunction()

# boragestand_program(NAME [libraries...]) builds src/NAME as a program.
function(boragestand_program name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src/${name})
    target_link_libraries(${name} PRIVATE ${ARGN} boragestand_options)
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# boragestand_test(NAME FOLDER [libraries...]) builds tests/FOLDER/*.cpp as one
# GoogleTest program and registers each of its tests with CTest, with a fixed
# seed for RapidCheck.
function(boragestand_test name folder)
    file(GLOB sources CONFIGURE_DEPENDS
        ${CMAKE_SOURCE_DIR}/tests/${folder}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN} boragestand_options
        GTest::gtest_main rapidcheck)
    gtest_discover_tests(${name} NO_PRETTY_VALUES PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=4117" TIMEOUT 300
        DISCOVERY_TIMEOUT 60)
endfunction()
