package io.oleandermoor.state.placement;

import java.util.Arrays;

/** Growable list of integers that avoids boxing. */
final class IntList {
    private int[] elements = new int[4];
    private int size;

    int size() {
        return size;
    }

    int get(int index) {
        return elements[index];
    }

    boolean contains(int value) {
        return IndexedFleet.contains(elements, size, value);
    }

    void add(int value) {
        if (size == elements.length) {
            elements = Arrays.copyOf(elements, size * 2);
        }
        elements[size++] = value;
    }

    void remove(int value) {
        for (int index = 0; index < size; index++) {
            if (elements[index] == value) {
                System.arraycopy(elements, index + 1, elements, index, size - index - 1);
                size--;
                return;
            }
        }
        throw new IllegalArgumentException(value + " is not in the list");
    }

    int[] toSortedArray() {
        int[] result = Arrays.copyOf(elements, size);
        Arrays.sort(result);
        return result;
    }
}
