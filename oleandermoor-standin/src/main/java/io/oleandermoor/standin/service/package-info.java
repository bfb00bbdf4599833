/** A stand-in for a plain service whose calls may not be repeated. */
@NullMarked
package io.oleandermoor.standin.service;

import org.jspecify.annotations.NullMarked;
