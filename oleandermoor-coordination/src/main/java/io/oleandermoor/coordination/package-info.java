/** Coordination between processes: the key-value service, ownership, configuration, dissemination and membership. */
@NullMarked
package io.oleandermoor.coordination;

import org.jspecify.annotations.NullMarked;
