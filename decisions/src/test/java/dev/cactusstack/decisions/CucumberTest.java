package dev.cactusstack.decisions;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios of this module. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("dev.cactusstack.decisions")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "dev.cactusstack.decisions")
@ConfigurationParameter(key = PLUGIN_PROPERTY_NAME, value = "summary")
class CucumberTest {}
