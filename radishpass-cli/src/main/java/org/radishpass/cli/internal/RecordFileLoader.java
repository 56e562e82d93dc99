package org.radishpass.cli.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.RecordFiles;

/**
 * Reads records from files, and from all YAML and JSON files of directories.
 *
 * @since 0.1.0
 */
final class RecordFileLoader {
    private RecordFileLoader() {
        // static methods only
    }

    static RecordFiles.ReadResult read(List<Path> sources) throws IOException {
        List<RecordDocument> documents = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        for (Path source : sources) {
            for (Path file : files(source)) {
                String text = Files.readString(file, StandardCharsets.UTF_8);
                RecordFiles.ReadResult read = RecordFiles.read(file.toString(), text);
                documents.addAll(read.documents());
                errors.addAll(read.faults());
            }
        }
        return new RecordFiles.ReadResult(documents, errors);
    }

    private static List<Path> files(Path source) throws IOException {
        if (!Files.isDirectory(source)) {
            return List.of(source);
        }
        try (Stream<Path> found = Files.list(source)) {
            return found.filter(RecordFileLoader::isRecordFile).sorted().toList();
        }
    }

    private static boolean isRecordFile(Path file) {
        String name = file.getFileName().toString();
        return name.endsWith(".yaml") || name.endsWith(".yml") || name.endsWith(".json");
    }
}
