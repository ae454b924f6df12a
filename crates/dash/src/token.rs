//! Session tokens: JSON Web Tokens (RFC 7519) signed by HMAC (RFC 7518, 3.2) or Ed25519 (RFC 8037).
//!
//! The app issues a player's first token, which names no tune-in. A manager's tokens name the tune-in
//! they are issued for.

use base64::prelude::{BASE64_STANDARD, Engine as _};
use jsonwebtoken::errors::ErrorKind;
use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation, decode, decode_header, encode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of a token; longer ones are refused without being decoded.
const MAX_TOKEN_BYTES: usize = 2048;

/// Reason for refusing a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The token can't be decoded, or a claim is missing or invalid.
    Malformed,
    /// The signature or its algorithm doesn't match the key.
    Forged,
    /// The token names no key, or one that is not in force.
    UnknownKey,
    /// The token is not valid yet.
    NotYetValid,
    /// The token is no longer valid.
    Expired,
    /// The token is for another title.
    ForeignTitle,
    /// The token was used before, by a player that has since received a newer one.
    Replayed,
    /// The token's session was revoked.
    Revoked,
}

impl Refusal {
    /// Returns the name of the reason as it is sent to players.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::Forged => "forged",
            Refusal::UnknownKey => "unknown-key",
            Refusal::NotYetValid => "not-yet-valid",
            Refusal::Expired => "expired",
            Refusal::ForeignTitle => "foreign-title",
            Refusal::Replayed => "replayed",
            Refusal::Revoked => "revoked",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Claims of a token: what it entitles its player to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenClaims {
    /// Identifier of the session.
    pub session: u128,
    /// Title that may be played.
    pub title: String,
    /// Package under which the title is played.
    pub package: String,
    /// Highest rung that may be played.
    pub top: usize,
    /// Tenant that the player belongs to.
    pub tenant: String,
    /// Tune-in that the token is issued for; none in a token from the app.
    pub granted: Option<GrantedTuneIn>,
}

/// The tune-in that a manager's token is issued for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedTuneIn {
    /// Name of the manager.
    pub manager: String,
    /// Incarnation of the manager.
    pub incarnation: u64,
    /// Identifier of the viewing at this incarnation.
    pub viewing_id: u32,
    /// Number of the tune-in within its viewing.
    pub n: u16,
    /// Server at which the tune-in plays.
    pub server: SocketAddr,
    /// Number of the token among the viewing's tokens.
    pub sequence: u32,
    /// Start of the presentation in the viewing's manifests: a date in whole seconds.
    pub began_at: Duration,
}

impl GrantedTuneIn {
    /// Returns whether both are for the same tune-in, whatever their sequence numbers.
    pub fn same_tune_in(&self, other: &GrantedTuneIn) -> bool {
        let server_and_numbers =
            |granted: &GrantedTuneIn| (granted.incarnation, granted.viewing_id, granted.n, granted.server);
        self.manager == other.manager && server_and_numbers(self) == server_and_numbers(other)
    }
}

/// A key that checks tokens, and signs them if its private part is known.
struct Key {
    algorithm: Algorithm,
    decoding_key: DecodingKey,
    /// The private part; none if the key only checks.
    encoding_key: Option<EncodingKey>,
}

/// The keys in force: one signs; during a change of keys, two are valid.
#[derive(Default)]
pub struct Keys {
    /// All keys, by their identifiers.
    keys: BTreeMap<String, Key>,
    /// Identifier of the key that signs.
    signing_key_id: String,
}

impl Keys {
    /// Creates an empty set of keys; the key that signs is named here and added later.
    pub fn new(signing_key_id: &str) -> Self {
        Keys { keys: BTreeMap::new(), signing_key_id: signing_key_id.into() }
    }

    /// Adds a secret for HS256.
    ///
    /// # Errors
    /// Returns an error if the secret is shorter than the hash, 32 bytes (RFC 7518, 3.2).
    pub fn add_secret(&mut self, id: &str, secret: &str) -> Result<(), String> {
        if secret.len() < 32 {
            return Err(format!("is {} bytes long, under 32", secret.len()));
        }
        let decoding_key = DecodingKey::from_secret(secret.as_bytes()).map_err(|e| e.to_string())?;
        let encoding_key = EncodingKey::from_secret(secret.as_bytes()).map_err(|e| e.to_string())?;
        self.keys.insert(
            id.into(),
            Key { algorithm: Algorithm::HS256, decoding_key, encoding_key: Some(encoding_key) },
        );
        Ok(())
    }

    /// Adds an Ed25519 key: the public part as base64 of its 32 bytes, the private part as base64 of
    /// PKCS#8 DER.
    ///
    /// # Errors
    /// Returns an error if a part is not base64 or the public part has a wrong length.
    pub fn add_ed25519(&mut self, id: &str, public: &str, private: Option<&str>) -> Result<(), String> {
        let decode_base64 =
            |text: &str| BASE64_STANDARD.decode(text).map_err(|e| format!("is not base64: {e}"));
        let public = decode_base64(public)?;
        if public.len() != 32 {
            return Err(format!("is {} bytes long, not 32", public.len()));
        }
        let encoding_key = private.map(decode_base64).transpose()?.map(|der| EncodingKey::from_ed_der(&der));
        let decoding_key = DecodingKey::from_ed_der(&public);
        self.keys.insert(id.into(), Key { algorithm: Algorithm::EdDSA, decoding_key, encoding_key });
        Ok(())
    }

    /// Returns whether the signing key is known and can sign.
    pub fn can_sign(&self) -> bool {
        self.keys.get(&self.signing_key_id).is_some_and(|key| key.encoding_key.is_some())
    }

    /// Selects another key to sign with; returns false and changes nothing if it is missing or can't sign.
    pub fn sign_by(&mut self, id: &str) -> bool {
        let previous_id = std::mem::replace(&mut self.signing_key_id, id.into());
        let can_sign = self.can_sign();
        if !can_sign {
            self.signing_key_id = previous_id;
        }
        can_sign
    }

    /// Returns a signed token, valid from `now` for `valid_for`.
    ///
    /// # Errors
    /// Returns an error if the signing key is missing or can't sign.
    pub fn mint(
        &self, token_claims: &TokenClaims, now: Duration, valid_for: Duration,
    ) -> Result<String, String> {
        let key = self
            .keys
            .get(&self.signing_key_id)
            .ok_or_else(|| format!("signing key {:?} is missing", self.signing_key_id))?;
        let encoding_key = key.encoding_key.as_ref().ok_or_else(|| {
            format!("key {:?} can't sign: its private part is missing", self.signing_key_id)
        })?;
        let mut header = Header::new(key.algorithm);
        header.kid = Some(self.signing_key_id.clone());
        // Dates are whole seconds (RFC 7519, 2): the end is rounded up, so that the token is never valid
        // for less.
        let expires_at = (now + valid_for).as_millis().div_ceil(1000) as u64;
        let mut claims = json!({
            "vw": format!("{:032x}", token_claims.session), "title": token_claims.title, "pkg": token_claims.package, "top": token_claims.top,
            "tenant": token_claims.tenant, "nbf": now.as_secs(), "exp": expires_at,
        });
        if let Some(GrantedTuneIn { manager, incarnation, viewing_id, n, server, sequence, began_at }) =
            &token_claims.granted
        {
            claims["tin"] = json!([
                manager,
                incarnation,
                viewing_id,
                n,
                server.to_string(),
                sequence,
                began_at.as_secs()
            ]);
        }
        encode(&header, &claims, encoding_key).map_err(|e| e.to_string())
    }

    /// Checks a token and returns its claims with the dates from which and until which it is valid.
    ///
    /// `skew` is the tolerated difference between clocks.
    ///
    /// # Errors
    /// Returns the reason for refusing the token. Dates are checked only after the signature.
    pub fn check(
        &self, token: &str, now: Duration, skew: Duration,
    ) -> Result<(TokenClaims, (Duration, Duration)), Refusal> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(Refusal::Malformed);
        }
        let header = decode_header(token).map_err(|_| Refusal::Malformed)?;
        let key = header.kid.and_then(|id| self.keys.get(&id)).ok_or(Refusal::UnknownKey)?;
        // Guards against a token that names a weaker algorithm than its key's.
        let mut validation = Validation::new(key.algorithm);
        validation.validate_exp = false;
        validation.validate_aud = false;
        validation.required_spec_claims.clear();
        let claims =
            decode::<Value>(token, &key.decoding_key, &validation).map_err(|error| match error.kind() {
                ErrorKind::InvalidSignature | ErrorKind::InvalidAlgorithm => Refusal::Forged,
                _ => Refusal::Malformed,
            })?;
        let claims = claims.claims;
        let date = |name: &str| claims[name].as_u64().map(Duration::from_secs).ok_or(Refusal::Malformed);
        let (valid_from, valid_until) = (date("nbf")?, date("exp")?);
        if now + skew < valid_from {
            return Err(Refusal::NotYetValid);
        }
        if now >= valid_until + skew {
            return Err(Refusal::Expired);
        }
        let token_claims = parse_token_claims(&claims).ok_or(Refusal::Malformed)?;
        Ok((token_claims, (valid_from, valid_until)))
    }
}

/// Reads the claims of a checked token; none if one is missing or invalid.
fn parse_token_claims(claims: &Value) -> Option<TokenClaims> {
    let text = |name: &str| claims[name].as_str().map(String::from);
    let session = text("vw").filter(|digits| digits.len() == 32)?;
    let granted = match &claims["tin"] {
        Value::Null => None,
        tune_in => Some(GrantedTuneIn {
            manager: tune_in[0].as_str()?.to_string(),
            incarnation: tune_in[1].as_u64()?,
            viewing_id: u32::try_from(tune_in[2].as_u64()?).ok()?,
            n: u16::try_from(tune_in[3].as_u64()?).ok()?,
            server: tune_in[4].as_str()?.parse().ok()?,
            sequence: u32::try_from(tune_in[5].as_u64()?).ok()?,
            began_at: Duration::from_secs(tune_in[6].as_u64()?),
        }),
    };
    Some(TokenClaims {
        session: u128::from_str_radix(&session, 16).ok()?,
        title: text("title")?,
        package: text("pkg")?,
        top: usize::try_from(claims["top"].as_u64()?).ok()?,
        tenant: text("tenant")?,
        granted,
    })
}
