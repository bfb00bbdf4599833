/** The admin API without HTTP: credential check, requests, responses and errors. */
@NullMarked
package io.oleandermoor.daemon.administration;

import org.jspecify.annotations.NullMarked;
