/**
 * Library for operators: builds, reads, prints and compares configuration documents and issues keys. Operators'
 * programs use this package and {@code state.configuration} and nothing else.
 */
@NullMarked
package io.oleandermoor.operator;

import org.jspecify.annotations.NullMarked;
