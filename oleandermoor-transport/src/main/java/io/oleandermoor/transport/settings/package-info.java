/** Settings of the processes: INI files with overrides, checked against a schema and reported with file and line. */
@NullMarked
package io.oleandermoor.transport.settings;

import org.jspecify.annotations.NullMarked;
