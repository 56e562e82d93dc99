package org.radishpass.peer.message;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the components of one array in order. Components that the array lacks, or that are nil, are null or 0, as
 * in messages of earlier releases; components that this release does not know are skipped.
 */
final class ArrayReader {
    /** The initial capacity of a list. A damaged header may state billions of elements. */
    private static final int MAX_INITIAL_CAPACITY = 1_024;

    private final MessageUnpacker unpacker;
    private final int messageBytes;
    private int remaining;

    /**
     * Creates a reader that starts with the header of the array.
     *
     * @param unpacker supplies the bytes
     * @param messageBytes the size of the whole message, which bounds the size of each component
     */
    ArrayReader(MessageUnpacker unpacker, int messageBytes) throws IOException {
        this.unpacker = unpacker;
        this.messageBytes = messageBytes;
        this.remaining = unpacker.unpackArrayHeader();
    }

    private boolean absent() throws IOException {
        return remaining-- <= 0 || unpacker.tryUnpackNil();
    }

    long integer() throws IOException {
        return absent() ? 0 : unpacker.unpackLong();
    }

    int smallInteger() throws IOException {
        return absent() ? 0 : unpacker.unpackInt();
    }

    double number() throws IOException {
        if (absent()) {
            return 0;
        }
        return unpacker.getNextFormat().getValueType().isIntegerType()
                ? unpacker.unpackLong()
                : unpacker.unpackDouble();
    }

    boolean flag() throws IOException {
        return !absent() && unpacker.unpackBoolean();
    }

    @Nullable
    String text() throws IOException {
        return absent() ? null : unpacker.unpackString();
    }

    byte[] binary() throws IOException {
        if (absent()) {
            throw new IOException("a component is missing");
        }
        int length = unpacker.unpackBinaryHeader();
        if (length > messageBytes) {
            throw new IOException("a component of " + length + " bytes in a message of " + messageBytes);
        }
        return unpacker.readPayload(length);
    }

    <E extends Enum<E>> @Nullable E constant(E[] constants) throws IOException {
        if (absent()) {
            return null;
        }
        int ordinal = unpacker.unpackInt();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new IOException("unknown constant " + ordinal);
        }
        return constants[ordinal];
    }

    /** Reads a component that is an array itself. */
    <T> @Nullable T nested(Decoder<T> decoder) throws IOException {
        if (absent()) {
            return null;
        }
        ArrayReader reader = new ArrayReader(unpacker, messageBytes);
        T value = decoder.decode(reader);
        reader.end();
        return value;
    }

    /** Reads a list of arrays, which the message must have. */
    <T> List<T> list(Decoder<T> decoder) throws IOException {
        if (absent()) {
            throw new IOException("a list is missing");
        }
        return elements(decoder);
    }

    /** Reads a list of arrays, which is empty if the message lacks it. */
    <T> List<T> optionalList(Decoder<T> decoder) throws IOException {
        return absent() ? List.of() : elements(decoder);
    }

    private <T> List<T> elements(Decoder<T> decoder) throws IOException {
        ArrayReader elements = new ArrayReader(unpacker, messageBytes);
        List<T> values = new ArrayList<>(Math.min(MAX_INITIAL_CAPACITY, elements.remaining));
        while (elements.remaining > 0) {
            T value = elements.nested(decoder);
            if (value == null) {
                throw new IOException("a list contains nil");
            }
            values.add(value);
        }
        return values;
    }

    /** Reads a list of texts, which the message must have. */
    List<String> texts() throws IOException {
        if (absent()) {
            throw new IOException("a list is missing");
        }
        return textElements();
    }

    /** Reads a list of texts, which is empty if the message lacks it. */
    List<String> optionalTexts() throws IOException {
        return absent() ? List.of() : textElements();
    }

    private List<String> textElements() throws IOException {
        ArrayReader elements = new ArrayReader(unpacker, messageBytes);
        List<String> values = new ArrayList<>(Math.min(MAX_INITIAL_CAPACITY, elements.remaining));
        while (elements.remaining > 0) {
            String value = elements.text();
            if (value == null) {
                throw new IOException("a list contains nil");
            }
            values.add(value);
        }
        return values;
    }

    /** Skips the components that this release does not know. */
    void end() throws IOException {
        while (remaining > 0) {
            remaining--;
            unpacker.skipValue();
        }
    }

    /** Decodes an array. */
    @FunctionalInterface
    interface Decoder<T> {
        T decode(ArrayReader reader) throws IOException;
    }
}
