/** Findings about input: problems that are collected with their location and reported together. */
@NullMarked
package io.oleandermoor.state.finding;

import org.jspecify.annotations.NullMarked;
