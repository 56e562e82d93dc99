package org.radishpass.runtime.settings;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;

/**
 * Tells whoever started a process which ports it listens on.
 *
 * @since 0.1.0
 */
public final class PortsFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PortsFile() {
        // static methods only
    }

    /**
     * Writes the file whole: a reader sees all of it or nothing.
     *
     * @param file the file
     * @param content what to write
     * @throws IOException if it cannot be written
     */
    public static void write(Path file, Map<String, ?> content) throws IOException {
        Path draft = file.resolveSibling(file.getFileName() + ".draft");
        Files.write(draft, JSON.writeValueAsBytes(content));
        Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
