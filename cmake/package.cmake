# The Debian package with binaries, unit files, example catalogues and pages:
#   cpack -G DEB --config build/CPackConfig.cmake
include(GNUInstallDirs)
file(GLOB units ${CMAKE_SOURCE_DIR}/packaging/systemd/*.service)
install(FILES ${units} DESTINATION lib/systemd/system)
install(DIRECTORY ${CMAKE_SOURCE_DIR}/docs/ DESTINATION share/doc/chivefront)
install(DIRECTORY ${CMAKE_SOURCE_DIR}/examples/
        DESTINATION share/doc/chivefront/examples)

set(CPACK_GENERATOR DEB)
set(CPACK_PACKAGING_INSTALL_PREFIX /usr)
set(CPACK_PACKAGE_NAME chivefront)
set(CPACK_PACKAGE_CONTACT "The Chivefront maintainers <maintainers@chivefront.invalid>")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY
    "Model-aware router for versions and cascades")
set(CPACK_DEBIAN_PACKAGE_SECTION net)
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
set(CPACK_DEBIAN_FILE_NAME DEB-DEFAULT)
set(CPACK_STRIP_FILES ON)
include(CPack)
