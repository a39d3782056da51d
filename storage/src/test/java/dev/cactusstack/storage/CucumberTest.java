package dev.cactusstack.storage;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the contract tests of the platform interface. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("dev.cactusstack.storage")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "dev.cactusstack.storage")
@ConfigurationParameter(key = PLUGIN_PROPERTY_NAME, value = "summary")
class CucumberTest {}
