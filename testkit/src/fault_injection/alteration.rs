//! Alterations of requests and responses, and scopes: the requests that a fault applies to.

use super::edits::{
    edit_features, edit_json, remove_header, remove_parameter, remove_response_link,
    replace_in_target,
};
use super::ForwardedRequest;
use crate::client::Response;
use serde_json::Value as Json;

/// Requests that a fault applies to.
#[derive(Clone, Copy)]
pub(super) enum Scope {
    /// All requests.
    All,
    /// Requests with this path.
    Path(&'static str),
    /// Requests whose path ends with this text.
    PathSuffix(&'static str),
    /// Requests whose path or query contains this text.
    Target(&'static str),
    /// Requests whose path or query contains one text and not another.
    TargetWithout {
        /// Text that must occur.
        contained: &'static str,
        /// Text that must not occur.
        absent: &'static str,
    },
}

impl Scope {
    /// Returns whether a request is in the scope.
    pub(super) fn includes(self, request: &ForwardedRequest) -> bool {
        match self {
            Scope::All => true,
            Scope::Path(path) => request.path() == path,
            Scope::PathSuffix(suffix) => request.path().ends_with(suffix),
            Scope::Target(text) => request.target_contains(text),
            Scope::TargetWithout { contained, absent } => {
                request.target_contains(contained) && !request.target_contains(absent)
            }
        }
    }
}

/// Alteration that a fault makes to a request or its response.
#[derive(Clone, Copy)]
pub(super) enum Alteration {
    /// Removal of parameters from the query of a request.
    RemoveParameters(&'static [&'static str]),
    /// Removal of a header from a request, by its lower-case name.
    RemoveRequestHeader(&'static str),
    /// Replacement of a text in the target of a request.
    ReplaceInTarget {
        /// Text to replace.
        from: &'static str,
        /// Replacement.
        to: &'static str,
    },
    /// Any other edit of a request.
    EditRequest(fn(&mut ForwardedRequest)),
    /// Removal of the links with this relation from a response.
    RemoveLink(&'static str),
    /// Edit of the JSON body of a response.
    EditJson(fn(&mut Json)),
    /// Edit of the features of a response.
    EditFeatures(fn(&mut Vec<Json>)),
    /// Any other edit of a response.
    EditResponse(fn(&mut Response)),
}

impl Alteration {
    /// Alters a request; alterations of responses have no effect.
    pub(super) fn alter_request(self, request: &mut ForwardedRequest) {
        match self {
            Alteration::RemoveParameters(names) => {
                names
                    .iter()
                    .for_each(|name| remove_parameter(request, name));
            }
            Alteration::RemoveRequestHeader(name) => remove_header(request, name),
            Alteration::ReplaceInTarget { from, to } => replace_in_target(request, from, to),
            Alteration::EditRequest(edit) => edit(request),
            Alteration::RemoveLink(_)
            | Alteration::EditJson(_)
            | Alteration::EditFeatures(_)
            | Alteration::EditResponse(_) => {}
        }
    }

    /// Alters a response; alterations of requests have no effect.
    pub(super) fn alter_response(self, response: &mut Response) {
        match self {
            Alteration::RemoveLink(relation) => remove_response_link(response, relation),
            Alteration::EditJson(edit) => edit_json(response, edit),
            Alteration::EditFeatures(edit) => edit_features(response, edit),
            Alteration::EditResponse(edit) => edit(response),
            Alteration::RemoveParameters(_)
            | Alteration::RemoveRequestHeader(_)
            | Alteration::ReplaceInTarget { .. }
            | Alteration::EditRequest(_) => {}
        }
    }
}
