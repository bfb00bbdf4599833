package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.ServiceName;

/**
 * A route from a path of an entry to a plain service.
 *
 * @param name the name of the route
 * @param method the HTTP method
 * @param path the path prefix, starting with a slash
 * @param service the plain service that answers
 * @param access who may use the route
 * @param repeatability whether a call may be repeated
 */
public record Route(
        RouteName name, String method, String path, ServiceName service, Access access, Repeatability repeatability) {}
