package org.radishpass.runtime.settings;

import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Fills settings from command line flags. A flag that is not given is taken from its environment variable, if that is
 * set.
 *
 * <p>The environment variable of {@code --data-centre} is {@code RADISHPASS_DATA_CENTRE}.
 *
 * @since 0.1.0
 */
public final class SettingsParser {
    private static final String ENVIRONMENT_PREFIX = "RADISHPASS_";
    private static final int USAGE_WIDTH = 110;

    private final CmdLineParser parser;
    private final Settings settings;

    /**
     * Creates a parser.
     *
     * @param settings the settings to fill
     */
    public SettingsParser(Settings settings) {
        this.settings = settings;
        this.parser = new CmdLineParser(
                settings,
                ParserProperties.defaults().withUsageWidth(USAGE_WIDTH).withShowDefaults(true));
    }

    /**
     * Fills the settings.
     *
     * @param arguments the command line
     * @param environment the environment variables
     * @return one message for each invalid setting; empty if all settings are valid
     */
    public List<String> parse(List<String> arguments, Map<String, String> environment) {
        List<String> all = new ArrayList<>(argumentsFromEnvironment(arguments, environment));
        all.addAll(arguments);
        try {
            parser.parseArgument(all);
        } catch (CmdLineException e) {
            return List.of(String.valueOf(e.getMessage()));
        }
        return settings.faults();
    }

    /** Returns the usage text, which describes each flag. */
    public String usage() {
        StringWriter text = new StringWriter();
        parser.printUsage(text, null);
        return text.toString();
    }

    /**
     * Returns the name of the environment variable of a flag.
     *
     * @param flag the flag, with its leading dashes
     */
    public static String environmentName(String flag) {
        String bare = flag.replaceFirst("^-+", "");
        return ENVIRONMENT_PREFIX + bare.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private List<String> argumentsFromEnvironment(List<String> arguments, Map<String, String> environment) {
        List<String> found = new ArrayList<>();
        for (OptionHandler<?> handler : parser.getOptions()) {
            OptionDef option = handler.option;
            if (option instanceof NamedOptionDef named && !arguments.contains(named.name())) {
                addArgumentFromEnvironment(named, environment, found);
            }
        }
        return found;
    }

    private static void addArgumentFromEnvironment(
            NamedOptionDef option, Map<String, String> environment, List<String> found) {
        String value = environment.get(environmentName(option.name()));
        if (value == null || option.help()) {
            return;
        }
        found.add(option.name());
        found.add(value);
    }
}
