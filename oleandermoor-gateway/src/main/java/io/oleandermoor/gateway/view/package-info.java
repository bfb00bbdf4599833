/** What an entry believes about its deployment, with the age of that belief. */
@NullMarked
package io.oleandermoor.gateway.view;

import org.jspecify.annotations.NullMarked;
