package io.oleandermoor.coordination.configuration;

/**
 * Where a content is kept. Contents above the store's limit of a value are split into parts.
 *
 * @param path key of the parts, without the number of the part
 * @param parts number of parts
 * @param bytes size of the content
 */
record ContentReference(String path, int parts, long bytes) {

    String key(int part) {
        return path + "/" + part;
    }
}
