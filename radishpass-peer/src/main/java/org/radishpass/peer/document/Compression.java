package org.radishpass.peer.document;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses with zlib (RFC 1950), at its fastest level: a router may have an eighth of a core. */
final class Compression {
    /** The largest document that is unpacked, in bytes: four times the largest value that the store takes. */
    static final int MOST_BYTES = 16 * 1024 * 1024;

    private static final int BUFFER_BYTES = 16_384;

    private Compression() {
        // static methods only
    }

    static byte[] compress(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 4 + BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Reads what {@link #compress} wrote.
     *
     * @throws IOException if it is malformed, ends early, or holds more than {@link #MOST_BYTES}
     */
    static byte[] decompress(byte[] compressed) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream out = new ByteArrayOutputStream(4 * compressed.length);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new IOException("compressed bytes end early");
                }
                out.write(buffer, 0, count);
                if (out.size() > MOST_BYTES) {
                    throw new IOException("a document of more than " + MOST_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("malformed compressed bytes", e);
        } finally {
            inflater.end();
        }
    }
}
